package org.lacewingstep.standin;

import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;

/** Measures the overhead of the router on loopback: token latency, memory per idle stream and control step times. */
public final class Measure {
    private static final int IDLE_STREAMS = 1000;
    private static final int REQUESTS = 200;
    private static final int SETTLING_MILLISECONDS = 10_000;
    private static final int TOKENS_PER_REQUEST = 40;
    private static final int WARM_UP_REQUESTS = 60;

    private Measure() {}

    /**
     * Runs the measurements.
     *
     * @param arguments the path of the product's binary; any second argument skips the token times; not null
     */
    public static void main(final String... arguments) throws Exception {
        final Path binary = Path.of(arguments[0]).toAbsolutePath();
        if (arguments.length > 1) {
            runIdleMeasurement(binary);
        }
        final LocalSite.SiteParameters fastParameters =
                new LocalSite.SiteParameters(4000, 20, 5, 1_000_000, 100_000_000, 4000, "10s");
        try (SiteProcesses processes = new SiteProcesses(binary)) {
            measureTokenTimes(processes, new LocalSite(fastParameters));
        }
        runIdleMeasurement(binary);
    }

    private static void runIdleMeasurement(final Path binary) throws Exception {
        final LocalSite.SiteParameters slowParameters =
                new LocalSite.SiteParameters(4000, 20, 4000, 1_000_000, 100_000_000, 4000, "10s");
        try (SiteProcesses processes = new SiteProcesses(binary)) {
            measureIdleStreams(processes, new LocalSite(slowParameters));
        }
        System.exit(0);
    }

    private static void measureTokenTimes(final SiteProcesses processes, final LocalSite site) throws Exception {
        final String key = new SiteStarter(processes, site, new SiteClient()).run();
        final int port = site.port(LocalSite.INSTANCES.getFirst());
        final TokenLatencyRecorder warmUp = new TokenLatencyRecorder();
        final TokenLatencyRecorder direct = new TokenLatencyRecorder();
        final TokenLatencyRecorder routed = new TokenLatencyRecorder();
        for (int index = 0; index < WARM_UP_REQUESTS + REQUESTS; index++) {
            final boolean warmedUp = index >= WARM_UP_REQUESTS;
            (warmedUp ? direct : warmUp)
                    .measureDirect(
                            site.port("prefill-0"),
                            site.port("decode-0"),
                            "direct-" + index + ".1",
                            TOKENS_PER_REQUEST);
            (warmedUp ? routed : warmUp).measureRouted(port, key, TOKENS_PER_REQUEST);
        }
        System.out.println("direct: " + direct.summary());
        System.out.println("routed: " + routed.summary());
        printSteps(site);
    }

    private static void measureIdleStreams(final SiteProcesses processes, final LocalSite site) throws Exception {
        final SiteClient client = new SiteClient();
        final String key = new SiteStarter(processes, site, client).run();
        final String name = LocalSite.INSTANCES.getFirst();
        final long kilobytesBefore = residentKilobytes(processes.processIdentifier(name));
        final List<CompletableFuture<HttpResponse<String>>> streams = new ArrayList<>();
        for (int index = 0; index < IDLE_STREAMS; index++) {
            streams.add(client.complete(site.port(name), key, "An idle stream.", TOKENS_PER_REQUEST, true));
        }
        SiteStarter.waitFor("open streams", () -> openRequests(client, site, name) >= IDLE_STREAMS);
        Thread.sleep(SETTLING_MILLISECONDS);
        System.out.println("running streams: " + runningRequests(client, site, name));
        final long kilobytesAfter = residentKilobytes(processes.processIdentifier(name));
        System.out.printf(
                "memory: %d KB before, %d KB with %d idle streams, %.1f KB a stream%n",
                kilobytesBefore,
                kilobytesAfter,
                IDLE_STREAMS,
                (double) (kilobytesAfter - kilobytesBefore) / IDLE_STREAMS);
        printSteps(site);
    }

    private static int openRequests(final SiteClient client, final LocalSite site, final String name) throws Exception {
        final JsonNode metrics = SiteClient.parseJson(
                client.get(site.port(name + "-operator"), "/metrics").body());
        return metrics.path("gauges").path("requests.open").path("value").asInt();
    }

    private static long runningRequests(final SiteClient client, final LocalSite site, final String name)
            throws Exception {
        final JsonNode state = SiteClient.parseJson(
                client.get(site.port(name + "-operator"), "/state").body());
        long running = 0;
        for (final JsonNode request : state.path("requests").path("requests")) {
            running += "Running".equals(request.path("phase").path("kind").asText()) ? 1 : 0;
        }
        return running;
    }

    private static void printSteps(final LocalSite site) throws Exception {
        for (final String name : LocalSite.INSTANCES) {
            final JsonNode timer = SiteClient.parseJson(new SiteClient()
                            .get(site.port(name + "-operator"), "/metrics")
                            .body())
                    .path("timers")
                    .path("control.step");
            System.out.println("control steps of " + name + ": " + timer);
        }
    }

    private static long residentKilobytes(final long process) throws Exception {
        for (final String line : Files.readAllLines(Path.of("/proc/" + process + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        throw new IllegalStateException("no VmRSS line in the process status");
    }
}
