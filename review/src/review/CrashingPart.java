package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Common code of the cases with a part of prompts that crashes runners. */
abstract class CrashingPart implements Main.Case {
    private static final double CONTACT_SECONDS = 3;
    private static final String HARMFUL = "deadbeef";
    private static final int DEADLINE_MILLIS = 14_000;

    private record Arrival(String request, boolean run, double at) {}

    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Double> crashes = new ArrayList<>();

    /** Returns the prompt of a request; the last part is its own. */
    abstract String prompt(String own, boolean harmful, String harmfulPart);

    /** Returns how many requests with the harmful part come at a time; six seconds pass between them if it is over one. */
    int clump() {
        return 1;
    }

    /** Returns the most runners that one request may be sent to. */
    int attempts() {
        return 2;
    }

    /** Writes what a runner has written of its answer when it crashes. */
    void writeBeforeCrash(final Runner runner, final Http.Message request, final OutputStream output)
            throws IOException, InterruptedException {}

    @Override
    public boolean run(final Site site, final boolean trouble) throws Exception {
        final Recorder recorder = site.recorder;
        for (int i = 0; i < 8; i++) {
            site.runners.add(new Runner(
                    site.store, site.host(100 + i), "i-%08x".formatted(0x7f3a0000 + i), "huvo11a", Site.ZONES[i % 3], i < 2 ? "prefill" : "decode") {
                @Override
                void reached(final Http.Message request) {
                    if (request.header("prompt-prefix").contains(HARMFUL)) {
                        recorder.log("%s with the harmful part reaches %s (%s)", request.header("request-id"), id, stage);
                        synchronized (arrivals) {
                            arrivals.add(new Arrival(request.header("request-id"), !stage.equals("prefill"), recorder.seconds()));
                        }
                    }
                }

                @Override
                boolean run(final Http.Message request, final OutputStream output)
                        throws IOException, InterruptedException {
                    if (!request.header("prompt-prefix").contains(HARMFUL)) {
                        writeStream(request, output, 9, 40);
                        return true;
                    }
                    Thread.sleep(20);
                    writeBeforeCrash(this, request, output);
                    recorder.log("%s crashes on %s", id, request.header("request-id"));
                    synchronized (arrivals) {
                        crashes.add(recorder.seconds());
                    }
                    crash(2500);
                    return false;
                }
            });
        }
        site.writeTable(
                """
                {"name":"r-nr26tta","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming",
                "timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"huvo11a","maxAttempts":%d,
                "anonymous":false,"stickySessions":true,"resumable":%b,"gapAimMs":300}"""
                        .formatted(attempts(), attempts() > 1),
                """
                {"name":"huvo11a","healthPath":"/health","maxConnections":630,"protocol":"h1","tls":false,
                "coldStartS":3.0,"coldPerS":0.0,"engine":{"slots":128,"kvTokens":37608,"kvBytes":18432,
                "linkMbps":370000.0,"kvHoldS":0.5,"stageSwitchS":6.0,"holdMs":2000.0,"models":[{"name":"m"}]}}""",
                "\"unit\":\"token_stream\",\"plainTokens\":200,\"ratePerS\":0,\"burst\":0");
        site.addRouters(3);
        site.start();
        Thread.sleep(5000);
        final double begin = recorder.seconds();
        int sent = 0;
        int harmful = 0;
        while (recorder.seconds() - begin < 30) {
            final double elapsed = recorder.seconds() - begin;
            for (; sent < elapsed * 10; sent++) {
                Thread.ofVirtual().start(() -> send(site, false));
            }
            final double period = clump() > 1 ? 6 : 1;
            for (; trouble && harmful < (elapsed - 3) / period; harmful++) {
                for (int i = 0; i < clump(); i++) {
                    Thread.ofVirtual().start(() -> send(site, true));
                }
            }
            Thread.sleep(5);
        }
        Thread.sleep(1000);
        return judge(recorder);
    }

    private void send(final Site site, final boolean harmful) {
        final Router router = site.routers.get(ThreadLocalRandom.current().nextInt(site.routers.size()));
        final String id = site.nextRequestId();
        site.recorder.log("sent %s to %s%s", id, router.name, harmful ? " with the harmful part" : "");
        final Http.Message answer = Site.call(
                router,
                """
                POST /lohu930/2f HTTP/1.1\r
                Host: ficu95.example\r
                Request-Id: %s\r
                Model: m\r
                Token-Count: 3200,72\r
                Prompt-Prefix: %s\r
                Deadline-Ms: %d\r
                Api-Key: %s\r
                Content-Length: 2\r
                \r
                {}"""
                        .formatted(id, prompt(id.substring(8), harmful, HARMFUL), DEADLINE_MILLIS, Site.KEY),
                new byte[0],
                DEADLINE_MILLIS);
        site.recorder.log("answered %s: %s", id, answer == null ? "nothing" : answer.startLine() + (answer.complete() ? "" : ", broken off"));
    }

    /** Counts the requests with the harmful part that were sent to runners too long after the fifth crash. */
    private boolean judge(final Recorder recorder) {
        if (crashes.size() < 5) {
            recorder.tell("%d crashes, %d arrivals", crashes.size(), arrivals.size());
            return true;
        }
        final double from = crashes.get(4) + CONTACT_SECONDS;
        final long late = arrivals.stream().filter(arrival -> arrival.at() > from).count();
        final long requests = arrivals.stream()
                .filter(arrival -> arrival.run() && arrival.at() > from)
                .map(Arrival::request)
                .distinct()
                .count();
        recorder.tell("%d crashes, the fifth at %.3f s", crashes.size(), crashes.get(4));
        recorder.tell("%d arrivals after %.3f s, to run %d requests; allowed: 3 requests", late, from, requests);
        return requests <= 3;
    }
}
