package org.lacewingstep.standin;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;

/** Starts stand-ins and two entry instances as processes, sends requests over HTTP and checks every response. */
public final class Demo {
    private static final int SHUTDOWN_STREAMS = 20;

    private final SiteClient client = new SiteClient();
    private final List<String> failedChecks = new ArrayList<>();
    private final SiteProcesses processes;
    private final LocalSite site = new LocalSite(LocalSite.SiteParameters.DEMO);

    private Demo(final SiteProcesses processes) {
        this.processes = processes;
    }

    /**
     * Runs the demonstration; exits with 0 only if every check passed.
     *
     * @param arguments the path of the product's binary, not null
     */
    public static void main(final String... arguments) throws Exception {
        final List<String> failedChecks;
        try (SiteProcesses processes = new SiteProcesses(Path.of(arguments[0]).toAbsolutePath())) {
            final Demo demo = new Demo(processes);
            demo.run();
            failedChecks = demo.failedChecks;
        }
        System.out.println(
                failedChecks.isEmpty() ? "demo: all responses were correct" : "demo: WRONG: " + failedChecks);
        System.exit(failedChecks.isEmpty() ? 0 : 1);
    }

    private void run() throws Exception {
        final String key = new SiteStarter(processes, site, client).run();
        checkCompletions(key);
        checkStreamFaults(key);
        checkPlainCalls(key);
        checkRejections(key);
        checkStates();
        checkShutdown(key);
    }

    private void checkCompletions(final String key) throws Exception {
        final String prompt = "Describe a basket of two colours.";
        final String expected = EngineText.generate(prompt, 12);
        for (final String name : LocalSite.INSTANCES) {
            final HttpResponse<String> streamed =
                    client.complete(site.port(name), key, prompt, 12, true).get();
            check(name + " streamed", expected, SiteClient.streamedText(streamed.body()));
            final HttpResponse<String> complete =
                    client.complete(site.port(name), key, prompt, 12, false).get();
            check(name + " not streamed", expected, SiteClient.completionText(complete.body()));
        }
    }

    private void checkStreamFaults(final String key) throws Exception {
        final String prompt = "A prism, polished twice.";
        final String expected = EngineText.generate(prompt, 20);
        for (final String fault : List.of("cut", "crossed", "doubled", "stalled")) {
            for (int index = 0; index < 2; index++) {
                client.send(site.port("decode-" + index), "/standin/fault/" + fault + "/7", "", "");
            }
            final int port = site.port(LocalSite.INSTANCES.getFirst());
            final HttpResponse<String> first =
                    client.complete(port, key, prompt, 20, true).get();
            check("stream " + fault, expected, SiteClient.streamedText(first.body()));
            client.complete(port, key, prompt, 20, true).get();
        }
    }

    private void checkPlainCalls(final String key) throws Exception {
        final int port = site.port(LocalSite.INSTANCES.getLast());
        final HttpResponse<String> response = client.send(port, "/ledger/sales", key, "sale-1");
        check("plain call", "done 1 sale-1", response.body());
        checkIdempotencyKey(key);
        for (int index = 0; index < 2; index++) {
            client.send(site.port("ledger-" + index), "/standin/drop-next", "", "");
        }
        final HttpResponse<String> lostResponse = client.send(port, "/ledger/sales", key, "sale-2");
        check(
                "lost response",
                "may have run",
                SiteClient.parseJson(lostResponse.body())
                        .path("error")
                        .path("run")
                        .asText());
        int executions = 0;
        for (int index = 0; index < 2; index++) {
            final JsonNode stats = SiteClient.parseJson(
                    client.get(site.port("ledger-" + index), "/standin/stats").body());
            executions += stats.path("executions").path("sale-2").asInt();
            check("key at ledger-" + index, "0", stats.path("keys_seen").asText());
        }
        check("executions of the lost call", "1", Integer.toString(executions));
    }

    private void checkIdempotencyKey(final String key) throws Exception {
        final int firstPort = site.port(LocalSite.INSTANCES.getFirst());
        final int secondPort = site.port(LocalSite.INSTANCES.getLast());
        final HttpResponse<String> firstResponse =
                client.sendWithIdempotencyKey(firstPort, "/ledger/sales", key, "sale-3", "mark-3");
        check("call with an idempotency key", "done 1 sale-3", firstResponse.body());
        final HttpResponse<String> secondResponse =
                client.sendWithIdempotencyKey(secondPort, "/ledger/sales", key, "sale-3", "mark-3");
        check("repetition at another instance", "409", Integer.toString(secondResponse.statusCode()));
    }

    private void checkRejections(final String key) throws Exception {
        final int port = site.port(LocalSite.INSTANCES.getFirst());
        final HttpResponse<String> unknownKeyResponse =
                client.complete(port, "no-such-key", "hello", 4, false).get();
        check("unknown key", "401", Integer.toString(unknownKeyResponse.statusCode()));
        check(
                "unknown key ran",
                "not run",
                SiteClient.parseJson(unknownKeyResponse.body())
                        .path("error")
                        .path("run")
                        .asText());
        check(
                "malformed body",
                "400",
                Integer.toString(client.send(port, "/v1/completions", key, "{").statusCode()));
        checkInvalidRequests(port, key);
        checkKeyWithdrawal(port);
        checkCancellation(port, key);
        for (int index = 0; index < 2; index++) {
            final JsonNode stats = SiteClient.parseJson(
                    client.get(site.port("decode-" + index), "/standin/stats").body());
            check("key at decode-" + index, "0", stats.path("keys_seen").asText());
            check(
                    "refused for memory at decode-" + index,
                    "0",
                    stats.path("overcommitted").asText());
        }
    }

    private void checkInvalidRequests(final int port, final String key) throws Exception {
        final String unknownModel = "{\"model\":\"none\",\"prompt\":\"p\"}";
        check("unknown model", "404", completionStatus(port, key, unknownModel));
        final String excessiveTokens = "{\"model\":\"pattern-7b\",\"prompt\":\"p\",\"max_tokens\":900000}";
        check("absurd token count", "400", completionStatus(port, key, excessiveTokens));
        check("oversized body", "413", completionStatus(port, key, "x".repeat(2 * 1024 * 1024)));
    }

    private String completionStatus(final int port, final String key, final String body) throws Exception {
        return Integer.toString(client.send(port, "/v1/completions", key, body).statusCode());
    }

    private void checkKeyWithdrawal(final int port) throws Exception {
        final String key = processes.run("team", "grant-key", "--store", site.storeAddress(), "dyers");
        SiteStarter.waitFor(
                "a granted key",
                () -> client.complete(port, key, "hi", 1, false).get().statusCode() == 200);
        processes.run("team", "withdraw-key", "--store", site.storeAddress(), key);
        final long start = System.nanoTime();
        SiteStarter.waitFor(
                "a withdrawn key",
                () -> client.complete(port, key, "hi", 1, false).get().statusCode() == 401);
        print("a withdrawn key was refused after " + (System.nanoTime() - start) / 1_000_000 + " ms");
    }

    private void checkCancellation(final int port, final String key) throws Exception {
        final CompletableFuture<HttpResponse<String>> stream =
                client.complete(port, key, "A caller that goes.", 1000, true);
        SiteStarter.waitFor("a running stream", () -> usedPieces() > 0);
        stream.cancel(true);
        final long start = System.nanoTime();
        SiteStarter.waitFor("freed memory", () -> usedPieces() == 0);
        print("memory was free " + (System.nanoTime() - start) / 1_000_000 + " ms after the caller had disconnected");
    }

    private int usedPieces() throws Exception {
        int used = 0;
        for (int index = 0; index < 2; index++) {
            used += SiteClient.parseJson(client.get(site.port("decode-" + index), "/standin/stats")
                            .body())
                    .path("used_pieces")
                    .asInt();
        }
        return used;
    }

    private void checkStates() throws Exception {
        for (final String name : LocalSite.INSTANCES) {
            final JsonNode state = SiteClient.parseJson(
                    processes.run("state", "--instance", "127.0.0.1:" + site.port(name + "-operator")));
            check(
                    name + " stage",
                    "Ready",
                    state.path("lifecycle").path("stage").path("kind").asText());
            print(name + " (process " + processes.processIdentifier(name) + "): epoch "
                    + state.path("membership").path("agreement").path("roster").path("epoch") + ", generation "
                    + state.path("configuration").path("inForce").path("generation") + ", budget slots held "
                    + state.path("teamBudgets").path("budgets").size() + ", cells held "
                    + state.path("cells").path("cells").size());
        }
    }

    private void checkShutdown(final String key) throws Exception {
        final String prompt = "A long log of a lapping machine.";
        final String expected = EngineText.generate(prompt, 60);
        final String stoppedInstance = LocalSite.INSTANCES.getLast();
        final List<CompletableFuture<HttpResponse<String>>> streams = new ArrayList<>();
        for (int index = 0; index < SHUTDOWN_STREAMS; index++) {
            streams.add(client.complete(site.port(stoppedInstance), key, prompt, 60, true));
        }
        SiteStarter.waitFor("running streams", () -> openRequests(stoppedInstance) >= SHUTDOWN_STREAMS);
        final int exitCode = processes.stop(stoppedInstance);
        int completeStreams = 0;
        for (final CompletableFuture<HttpResponse<String>> stream : streams) {
            completeStreams +=
                    expected.equals(SiteClient.streamedText(stream.get().body())) ? 1 : 0;
        }
        check(
                "complete streams during shutdown",
                Integer.toString(SHUTDOWN_STREAMS),
                Integer.toString(completeStreams));
        print(stoppedInstance + " stopped with " + exitCode + " after " + SHUTDOWN_STREAMS + " streams");
    }

    private int openRequests(final String name) throws Exception {
        final JsonNode metrics = SiteClient.parseJson(
                client.get(site.port(name + "-operator"), "/metrics").body());
        return metrics.path("gauges").path("requests.open").path("value").asInt();
    }

    private void check(final String checkName, final String expected, final String actual) {
        final boolean passed = expected.equals(actual);
        print((passed ? "right  " : "WRONG  ") + checkName + ": " + actual);
        if (!passed) {
            failedChecks.add(checkName);
        }
    }

    private static void print(final String line) {
        System.out.println(line);
    }
}
