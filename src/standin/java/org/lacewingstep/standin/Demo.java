package org.lacewingstep.standin;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;

/** Starts stand-ins and two entry instances as processes, sends real requests and checks every answer. */
public final class Demo {
    private static final int STREAMS = 20;

    private final DemoCaller caller = new DemoCaller();
    private final List<String> faults = new ArrayList<>();
    private final DemoProcesses processes;
    private final DemoSite site = new DemoSite(DemoSite.Shape.DEMO);

    private Demo(final DemoProcesses processes) {
        this.processes = processes;
    }

    /**
     * Runs the demonstration; exits with 0 only if every answer was right.
     *
     * @param arguments the product's binary, not null
     */
    public static void main(final String... arguments) throws Exception {
        final List<String> faults;
        try (DemoProcesses processes = new DemoProcesses(Path.of(arguments[0]).toAbsolutePath())) {
            final Demo demo = new Demo(processes);
            demo.run();
            faults = demo.faults;
        }
        System.out.println(faults.isEmpty() ? "demo: all answers were right" : "demo: WRONG: " + faults);
        System.exit(faults.isEmpty() ? 0 : 1);
    }

    private void run() throws Exception {
        final String key = new SiteStart(processes, site, caller).run();
        showCompletions(key);
        showFaults(key);
        showPlainCalls(key);
        showRefusals(key);
        showStates();
        showShutdown(key);
    }

    private void showCompletions(final String key) throws Exception {
        final String prompt = "Describe a basket of two colours.";
        final String expected = EngineText.generate(prompt, 12);
        for (final String name : DemoSite.INSTANCES) {
            final HttpResponse<String> streamed =
                    caller.complete(site.port(name), key, prompt, 12, true).get();
            check(name + " streamed", expected, DemoCaller.streamedText(streamed.body()));
            final HttpResponse<String> whole =
                    caller.complete(site.port(name), key, prompt, 12, false).get();
            check(name + " whole", expected, DemoCaller.wholeText(whole.body()));
        }
    }

    private void showFaults(final String key) throws Exception {
        final String prompt = "A prism, polished twice.";
        final String expected = EngineText.generate(prompt, 20);
        for (final String fault : List.of("cut", "crossed", "doubled", "stalled")) {
            for (int index = 0; index < 2; index++) {
                caller.send(site.port("decode-" + index), "/standin/fault/" + fault + "/7", "", "");
            }
            final int port = site.port(DemoSite.INSTANCES.getFirst());
            final HttpResponse<String> first =
                    caller.complete(port, key, prompt, 20, true).get();
            check("stream " + fault, expected, DemoCaller.streamedText(first.body()));
            caller.complete(port, key, prompt, 20, true).get();
        }
    }

    private void showPlainCalls(final String key) throws Exception {
        final int port = site.port(DemoSite.INSTANCES.getLast());
        final HttpResponse<String> sale = caller.send(port, "/ledger/sales", key, "sale-1");
        check("plain call", "done 1 sale-1", sale.body());
        showRepetition(key);
        for (int index = 0; index < 2; index++) {
            caller.send(site.port("ledger-" + index), "/standin/drop-next", "", "");
        }
        final HttpResponse<String> lost = caller.send(port, "/ledger/sales", key, "sale-2");
        check(
                "lost answer",
                "may have run",
                DemoCaller.json(lost.body()).path("error").path("run").asText());
        int executions = 0;
        for (int index = 0; index < 2; index++) {
            final JsonNode stats = DemoCaller.json(
                    caller.get(site.port("ledger-" + index), "/standin/stats").body());
            executions += stats.path("executions").path("sale-2").asInt();
            check("key at ledger-" + index, "0", stats.path("keys_seen").asText());
        }
        check("executions of the lost call", "1", Integer.toString(executions));
    }

    private void showRepetition(final String key) throws Exception {
        final int first = site.port(DemoSite.INSTANCES.getFirst());
        final int second = site.port(DemoSite.INSTANCES.getLast());
        final HttpResponse<String> made = caller.sendOnce(first, "/ledger/sales", key, "sale-3", "mark-3");
        check("call with an idempotency key", "done 1 sale-3", made.body());
        final HttpResponse<String> again = caller.sendOnce(second, "/ledger/sales", key, "sale-3", "mark-3");
        check("repetition at another instance", "409", Integer.toString(again.statusCode()));
    }

    private void showRefusals(final String key) throws Exception {
        final int port = site.port(DemoSite.INSTANCES.getFirst());
        final HttpResponse<String> unknown =
                caller.complete(port, "no-such-key", "hello", 4, false).get();
        check("unknown key", "401", Integer.toString(unknown.statusCode()));
        check(
                "unknown key ran",
                "not run",
                DemoCaller.json(unknown.body()).path("error").path("run").asText());
        check(
                "malformed body",
                "400",
                Integer.toString(caller.send(port, "/v1/completions", key, "{").statusCode()));
        showBadInput(port, key);
        showWithdrawal(port);
        showCancel(port, key);
        for (int index = 0; index < 2; index++) {
            final JsonNode stats = DemoCaller.json(
                    caller.get(site.port("decode-" + index), "/standin/stats").body());
            check("key at decode-" + index, "0", stats.path("keys_seen").asText());
            check(
                    "refused for memory at decode-" + index,
                    "0",
                    stats.path("overcommitted").asText());
        }
    }

    private void showBadInput(final int port, final String key) throws Exception {
        final String unknownModel = "{\"model\":\"none\",\"prompt\":\"p\"}";
        check("unknown model", "404", status(port, key, unknownModel));
        final String absurd = "{\"model\":\"pattern-7b\",\"prompt\":\"p\",\"max_tokens\":900000}";
        check("absurd token count", "400", status(port, key, absurd));
        check("oversized body", "413", status(port, key, "x".repeat(2 * 1024 * 1024)));
    }

    private String status(final int port, final String key, final String body) throws Exception {
        return Integer.toString(caller.send(port, "/v1/completions", key, body).statusCode());
    }

    private void showWithdrawal(final int port) throws Exception {
        final String key = processes.run("team", "grant-key", "--store", site.store(), "dyers");
        SiteStart.waitFor(
                "a granted key",
                () -> caller.complete(port, key, "hi", 1, false).get().statusCode() == 200);
        processes.run("team", "withdraw-key", "--store", site.store(), key);
        final long start = System.nanoTime();
        SiteStart.waitFor(
                "a withdrawn key",
                () -> caller.complete(port, key, "hi", 1, false).get().statusCode() == 401);
        say("a withdrawn key was refused after " + (System.nanoTime() - start) / 1_000_000 + " ms");
    }

    private void showCancel(final int port, final String key) throws Exception {
        final CompletableFuture<HttpResponse<String>> stream =
                caller.complete(port, key, "A caller that goes.", 1000, true);
        SiteStart.waitFor("a running stream", () -> usedPieces() > 0);
        stream.cancel(true);
        final long start = System.nanoTime();
        SiteStart.waitFor("freed memory", () -> usedPieces() == 0);
        say("memory was free " + (System.nanoTime() - start) / 1_000_000 + " ms after the caller had gone");
    }

    private int usedPieces() throws Exception {
        int used = 0;
        for (int index = 0; index < 2; index++) {
            used += DemoCaller.json(caller.get(site.port("decode-" + index), "/standin/stats")
                            .body())
                    .path("used_pieces")
                    .asInt();
        }
        return used;
    }

    private void showStates() throws Exception {
        for (final String name : DemoSite.INSTANCES) {
            final JsonNode state =
                    DemoCaller.json(processes.run("state", "--instance", "127.0.0.1:" + site.port(name + "-operator")));
            check(
                    name + " stage",
                    "Ready",
                    state.path("lifecycle").path("stage").path("kind").asText());
            say(name + " (process " + processes.identifier(name) + "): epoch "
                    + state.path("membership").path("agreement").path("roster").path("epoch") + ", generation "
                    + state.path("configuration").path("inForce").path("generation") + ", budget slots held "
                    + state.path("teamBudgets").path("budgets").size() + ", cells held "
                    + state.path("cells").path("cells").size());
        }
    }

    private void showShutdown(final String key) throws Exception {
        final String prompt = "A long log of a lapping machine.";
        final String expected = EngineText.generate(prompt, 60);
        final String stopped = DemoSite.INSTANCES.getLast();
        final List<CompletableFuture<HttpResponse<String>>> streams = new ArrayList<>();
        for (int index = 0; index < STREAMS; index++) {
            streams.add(caller.complete(site.port(stopped), key, prompt, 60, true));
        }
        SiteStart.waitFor("running streams", () -> openRequests(stopped) >= STREAMS);
        final int code = processes.stop(stopped);
        int whole = 0;
        for (final CompletableFuture<HttpResponse<String>> stream : streams) {
            whole += expected.equals(DemoCaller.streamedText(stream.get().body())) ? 1 : 0;
        }
        check("whole streams during shutdown", Integer.toString(STREAMS), Integer.toString(whole));
        say(stopped + " stopped with " + code + " after " + STREAMS + " streams");
    }

    private int openRequests(final String name) throws Exception {
        final JsonNode metrics = DemoCaller.json(
                caller.get(site.port(name + "-operator"), "/metrics").body());
        return metrics.path("gauges").path("requests.open").path("value").asInt();
    }

    private void check(final String what, final String expected, final String actual) {
        final boolean right = expected.equals(actual);
        say((right ? "right  " : "WRONG  ") + what + ": " + actual);
        if (!right) {
            faults.add(what);
        }
    }

    private static void say(final String line) {
        System.out.println(line);
    }
}
