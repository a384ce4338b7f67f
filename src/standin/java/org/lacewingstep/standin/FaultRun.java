package org.lacewingstep.standin;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

/** Kills, freezes and cuts real processes under load, and checks the team's budget over what the engines saw. */
public final class FaultRun {
    private static final int BYTES_PER_TOKEN = 3;
    private static final int GAP_MILLISECONDS = 100;
    private static final int OUTPUT_TOKENS = 40;
    private static final int PHASE_SECONDS = 25;
    private static final String PROMPT = "A log of one lapping machine, read by the evening bench. ".repeat(4);

    private final Map<Integer, String> answers = new ConcurrentHashMap<>();
    private final DemoCaller caller = new DemoCaller();
    private final DemoProcesses processes;
    private final DemoSite site;

    private FaultRun(final DemoProcesses processes, final DemoSite site) {
        this.processes = processes;
        this.site = site;
    }

    /**
     * Runs the faults one after the other.
     *
     * @param arguments the product's binary, not null
     */
    public static void main(final String... arguments) throws Exception {
        final DemoSite.Shape shape = new DemoSite.Shape(24, 40, 15, 800, 8000, 2, "3s");
        try (DemoProcesses processes = new DemoProcesses(Path.of(arguments[0]).toAbsolutePath())) {
            new FaultRun(processes, new DemoSite(shape)).run(shape);
        }
        System.exit(0);
    }

    private void run(final DemoSite.Shape shape) throws Exception {
        final String key = new SiteStart(processes, site, caller).run();
        final ScheduledExecutorService load = Executors.newScheduledThreadPool(1);
        final int[] count = {0};
        load.scheduleAtFixedRate(() -> send(key, count[0]++), 0, GAP_MILLISECONDS, TimeUnit.MILLISECONDS);
        phase("no fault", count, () -> {});
        phase("store refuses", count, () -> caller.send(site.port("store"), "/standin/outage/on", "", ""));
        phase("store is back", count, () -> caller.send(site.port("store"), "/standin/outage/off", "", ""));
        phase("store frozen (SIGSTOP)", count, () -> signal("STOP", "store"));
        phase("store wakes", count, () -> signal("CONT", "store"));
        phase("entry-b frozen (SIGSTOP)", count, () -> signal("STOP", "entry-b"));
        phase("entry-b wakes", count, () -> signal("CONT", "entry-b"));
        phase("entry-b killed (kill -9)", count, () -> processes.kill("entry-b"));
        load.shutdownNow();
        Thread.sleep(TimeUnit.SECONDS.toMillis(5));
        System.out.printf("most tokens over rate and burst: %.0f%n", excess(shape));
        showMemory();
    }

    private void phase(final String name, final int[] count, final Fault fault) throws Exception {
        fault.happen();
        final int first = count[0];
        Thread.sleep(TimeUnit.SECONDS.toMillis(PHASE_SECONDS));
        final Map<String, Integer> kinds = new TreeMap<>();
        for (int index = first; index < count[0]; index++) {
            kinds.merge(answers.getOrDefault(index, "open"), 1, Integer::sum);
        }
        System.out.println("| " + name + " | " + kinds + " |");
    }

    private void send(final String key, final int number) {
        final String instance = DemoSite.INSTANCES.get(number % DemoSite.INSTANCES.size());
        final CompletableFuture<HttpResponse<String>> answer =
                caller.complete(site.port(instance), key, PROMPT + number, OUTPUT_TOKENS, false);
        answer.whenComplete((response, failure) -> answers.put(number, kind(response, failure)));
    }

    private static String kind(final HttpResponse<String> response, final Throwable failure) {
        if (failure != null) {
            return "no connection";
        }
        try {
            final JsonNode body = DemoCaller.json(response.body());
            return body.has("error") ? body.path("error").path("code").asText() : "answered";
        } catch (final IOException unreadable) {
            return "unreadable";
        }
    }

    /** Finds the most tokens by which any window over both engines exceeds the team's rate and burst. */
    private double excess(final DemoSite.Shape shape) throws Exception {
        final List<JsonNode> starts = new ArrayList<>();
        for (int index = 0; index < 2; index++) {
            DemoCaller.json(caller.get(site.port("decode-" + index), "/standin/log")
                            .body())
                    .forEach(starts::add);
        }
        starts.sort(Comparator.comparingLong(start -> start.path("at").asLong()));
        final Map<String, Boolean> seen = new TreeMap<>();
        double largest = Double.NEGATIVE_INFINITY;
        double lowest = Double.POSITIVE_INFINITY;
        double sum = 0;
        for (final JsonNode start : starts) {
            final String identifier = start.path("request").asText();
            final String request = identifier.substring(0, identifier.lastIndexOf('.'));
            if (seen.putIfAbsent(request, true) == null) {
                final double accrued = start.path("at").asLong() / 1000.0 * shape.tokensPerSecond();
                lowest = Math.min(lowest, sum - accrued);
                sum += Math.ceilDiv(start.path("prompt").asText().length(), BYTES_PER_TOKEN)
                        + start.path("max_tokens").asInt();
                largest = Math.max(largest, sum - accrued - lowest - shape.burstTokens());
            }
        }
        System.out.println("requests that engines saw: " + seen.size());
        return largest;
    }

    private void showMemory() throws Exception {
        for (int index = 0; index < 2; index++) {
            System.out.println("decode-" + index + ": "
                    + caller.get(site.port("decode-" + index), "/standin/stats").body());
        }
    }

    private void signal(final String name, final String process) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(processes.identifier(process)))
                .start()
                .waitFor();
    }

    /** Something that happens to processes. */
    private interface Fault {
        /** Lets it happen. */
        void happen() throws Exception;
    }
}
