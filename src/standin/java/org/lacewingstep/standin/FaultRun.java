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

/** Injects outages, freezes and kills under load, and checks the tokens at the engines against the team's budget. */
public final class FaultRun {
    private static final int BYTES_PER_TOKEN = 3;
    private static final int REQUEST_INTERVAL_MILLISECONDS = 100;
    private static final int OUTPUT_TOKENS = 40;
    private static final int PHASE_SECONDS = 25;
    private static final String PROMPT = "A log of one lapping machine, read by the evening bench. ".repeat(4);

    private final Map<Integer, String> outcomes = new ConcurrentHashMap<>();
    private final SiteClient client = new SiteClient();
    private final SiteProcesses processes;
    private final LocalSite site;

    private FaultRun(final SiteProcesses processes, final LocalSite site) {
        this.processes = processes;
        this.site = site;
    }

    /**
     * Runs one phase per fault or recovery, in sequence, and prints the outcomes of the requests of each phase.
     *
     * @param arguments the path of the product's binary, not null
     */
    public static void main(final String... arguments) throws Exception {
        final LocalSite.SiteParameters parameters = new LocalSite.SiteParameters(24, 40, 15, 800, 8000, 2, "3s");
        try (SiteProcesses processes = new SiteProcesses(Path.of(arguments[0]).toAbsolutePath())) {
            new FaultRun(processes, new LocalSite(parameters)).run(parameters);
        }
        System.exit(0);
    }

    private void run(final LocalSite.SiteParameters parameters) throws Exception {
        final String key = new SiteStarter(processes, site, client).run();
        final ScheduledExecutorService loadScheduler = Executors.newScheduledThreadPool(1);
        final int[] requestCount = {0};
        loadScheduler.scheduleAtFixedRate(
                () -> send(key, requestCount[0]++), 0, REQUEST_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
        runPhase("no fault", requestCount, () -> {});
        runPhase("store refuses", requestCount, () -> client.send(site.port("store"), "/standin/outage/on", "", ""));
        runPhase("store is back", requestCount, () -> client.send(site.port("store"), "/standin/outage/off", "", ""));
        runPhase("store frozen (SIGSTOP)", requestCount, () -> signal("STOP", "store"));
        runPhase("store wakes", requestCount, () -> signal("CONT", "store"));
        runPhase("entry-b frozen (SIGSTOP)", requestCount, () -> signal("STOP", "entry-b"));
        runPhase("entry-b wakes", requestCount, () -> signal("CONT", "entry-b"));
        runPhase("entry-b killed (kill -9)", requestCount, () -> processes.kill("entry-b"));
        loadScheduler.shutdownNow();
        Thread.sleep(TimeUnit.SECONDS.toMillis(5));
        System.out.printf("most tokens over rate and burst: %.0f%n", maxBudgetExcess(parameters));
        printEngineStatistics();
    }

    private void runPhase(final String name, final int[] requestCount, final FaultAction action) throws Exception {
        action.apply();
        final int firstNumber = requestCount[0];
        Thread.sleep(TimeUnit.SECONDS.toMillis(PHASE_SECONDS));
        final Map<String, Integer> outcomeCounts = new TreeMap<>();
        for (int index = firstNumber; index < requestCount[0]; index++) {
            outcomeCounts.merge(outcomes.getOrDefault(index, "open"), 1, Integer::sum);
        }
        System.out.println("| " + name + " | " + outcomeCounts + " |");
    }

    private void send(final String key, final int number) {
        final String instance = LocalSite.INSTANCES.get(number % LocalSite.INSTANCES.size());
        final CompletableFuture<HttpResponse<String>> pendingResponse =
                client.complete(site.port(instance), key, PROMPT + number, OUTPUT_TOKENS, false);
        pendingResponse.whenComplete((response, failure) -> outcomes.put(number, outcome(response, failure)));
    }

    private static String outcome(final HttpResponse<String> response, final Throwable failure) {
        if (failure != null) {
            return "no connection";
        }
        try {
            final JsonNode body = SiteClient.parseJson(response.body());
            return body.has("error") ? body.path("error").path("code").asText() : "answered";
        } catch (final IOException unreadable) {
            return "unreadable";
        }
    }

    /** Computes the largest excess, in tokens, over the team's rate and burst in any time window over both engines. */
    private double maxBudgetExcess(final LocalSite.SiteParameters parameters) throws Exception {
        final List<JsonNode> generationStarts = new ArrayList<>();
        for (int index = 0; index < 2; index++) {
            SiteClient.parseJson(client.get(site.port("decode-" + index), "/standin/log")
                            .body())
                    .forEach(generationStarts::add);
        }
        generationStarts.sort(Comparator.comparingLong(start -> start.path("at").asLong()));
        final Map<String, Boolean> countedRequests = new TreeMap<>();
        double largestExcess = Double.NEGATIVE_INFINITY;
        double lowestBalance = Double.POSITIVE_INFINITY;
        double totalTokens = 0;
        for (final JsonNode start : generationStarts) {
            final String identifier = start.path("request").asText();
            final String request = identifier.substring(0, identifier.lastIndexOf('.'));
            if (countedRequests.putIfAbsent(request, true) == null) {
                final double accruedTokens = start.path("at").asLong() / 1000.0 * parameters.tokensPerSecond();
                lowestBalance = Math.min(lowestBalance, totalTokens - accruedTokens);
                totalTokens += Math.ceilDiv(start.path("prompt").asText().length(), BYTES_PER_TOKEN)
                        + start.path("max_tokens").asInt();
                largestExcess =
                        Math.max(largestExcess, totalTokens - accruedTokens - lowestBalance - parameters.burstTokens());
            }
        }
        System.out.println("requests that engines saw: " + countedRequests.size());
        return largestExcess;
    }

    private void printEngineStatistics() throws Exception {
        for (int index = 0; index < 2; index++) {
            System.out.println("decode-" + index + ": "
                    + client.get(site.port("decode-" + index), "/standin/stats").body());
        }
    }

    private void signal(final String signalName, final String processName) throws Exception {
        new ProcessBuilder("kill", "-" + signalName, Long.toString(processes.processIdentifier(processName)))
                .start()
                .waitFor();
    }

    /** An action that starts or ends a fault in the processes of the site. */
    private interface FaultAction {
        /** Applies the action. */
        void apply() throws Exception;
    }
}
