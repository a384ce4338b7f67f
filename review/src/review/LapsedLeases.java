package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** QUOTA: the leases run out in an outage of the store while one tenant sends many times its usual. */
final class LapsedLeases implements Main.Case {
    private static final int PROMPT = 3200;
    private static final int OUTPUT = 72;
    private static final int UNITS = PROMPT + OUTPUT;
    private static final double RATE = 80_000;
    private static final double BURST = 80_000;
    private static final double WINDOW_SECONDS = 8;
    /** The tenant's usual demand is its rate over 1.8; it sends 7.5 times as much for 11 s (hot_tenant, x = 7.5). */
    private static final double HOT_PER_SECOND = 7.5 * RATE / 1.8 / UNITS;
    private static final double USUAL_PER_SECOND = RATE / 1.8 / UNITS;

    private static final int DEADLINE_MILLIS = 14_000;

    private record Run(double sentAt, double at) {}

    private final List<Run> runs = new ArrayList<>();

    @Override
    public boolean run(final Site site, final boolean trouble) throws Exception {
        final Recorder recorder = site.recorder;
        for (int i = 0; i < 12; i++) {
            final Runner runner = new Runner(
                    site.store, site.host(100 + i), "i-%08x".formatted(0x7f3a0000 + i), "huvo11a", Site.ZONES[i % 3], i < 4 ? "prefill" : "decode") {
                @Override
                boolean run(final Http.Message request, final OutputStream output)
                        throws IOException, InterruptedException {
                    record(recorder, this, request);
                    writeStream(request, output, 9, 40);
                    return true;
                }
            };
            site.runners.add(runner);
        }
        site.writeTable(
                """
                {"name":"r-nr26tta","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming",
                "timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"huvo11a","maxAttempts":2,
                "anonymous":false,"stickySessions":true,"resumable":true,"gapAimMs":300}""",
                """
                {"name":"huvo11a","healthPath":"/health","maxConnections":630,"protocol":"h1","tls":false,
                "coldStartS":3.0,"coldPerS":0.0,"engine":{"slots":128,"kvTokens":37608,"kvBytes":18432,
                "linkMbps":370000.0,"kvHoldS":0.5,"stageSwitchS":6.0,"holdMs":2000.0,"models":[{"name":"m"}]}}""",
                "\"unit\":\"token_stream\",\"plainTokens\":200,\"ratePerS\":80000,\"burst\":80000");
        site.addRouters(9);
        site.start();
        Thread.sleep(8000);
        recorder.tell("usual demand for 4 s, then 7.5 times as much for 11 s");
        final double begin = recorder.seconds();
        final Thread store = Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(7200);
                if (trouble) {
                    recorder.tell("the store is down (reset), leases run out");
                    site.store.goDown(true);
                }
                Thread.sleep(3000);
                site.store.comeBack();
                recorder.tell("the store is up");
            } catch (final InterruptedException interruption) {
                Thread.currentThread().interrupt();
            }
        });
        int sent = 0;
        while (recorder.seconds() - begin < 16) {
            final double elapsed = recorder.seconds() - begin;
            final double due = Math.min(elapsed, 4) * USUAL_PER_SECOND + Math.max(0, Math.min(elapsed, 15) - 4) * HOT_PER_SECOND;
            for (; sent < due; sent++) {
                Thread.ofVirtual().start(() -> send(site));
            }
            Thread.sleep(5);
        }
        store.join();
        Thread.sleep(2000);
        return judge(recorder);
    }

    /** Sends one request; the client doesn't ask again after a refusal. */
    private static void send(final Site site) {
        final Router router = site.routers.get(ThreadLocalRandom.current().nextInt(site.routers.size()));
        final String id = site.nextRequestId();
        site.recorder.log("sent %s to %s", id, router.name);
        final Http.Message answer = Site.call(
                router,
                """
                POST /lohu930/2f HTTP/1.1\r
                Host: ficu95.example\r
                Request-Id: %s\r
                Model: m\r
                Token-Count: %d,%d\r
                Prompt-Prefix: 5c1e07a2:200,%s:3000\r
                Deadline-Ms: %d\r
                Api-Key: %s\r
                Sent-At: %.6f\r
                Content-Length: 2\r
                \r
                {}"""
                        .formatted(id, PROMPT, OUTPUT, id.substring(8), DEADLINE_MILLIS, Site.KEY, site.recorder.seconds()),
                new byte[0],
                DEADLINE_MILLIS);
        site.recorder.log("answered %s: %s", id, answer == null ? "nothing" : answer.startLine());
    }

    private void record(final Recorder recorder, final Runner runner, final Http.Message request) {
        recorder.log("run %s at %s for %s", request.header("request-id"), runner.id, request.header("tenant"));
        synchronized (runs) {
            runs.add(new Run(Double.parseDouble(request.header("sent-at")), recorder.seconds()));
        }
    }

    /** Finds the window in which the most requests were both sent and run. */
    private boolean judge(final Recorder recorder) {
        final double allowed = (RATE * WINDOW_SECONDS + BURST) * 1.1 + 140_000;
        double most = 0;
        double from = 0;
        for (final Run first : runs) {
            final double units = UNITS
                    * (double) runs.stream()
                            .filter(run -> run.sentAt() >= first.sentAt() && run.at() <= first.sentAt() + WINDOW_SECONDS)
                            .count();
            if (units > most) {
                most = units;
                from = first.sentAt();
            }
        }
        recorder.tell("most tokens in %.0f s: %.0f, from %.3f s on; allowed: %.0f", WINDOW_SECONDS, most, from, allowed);
        return most <= allowed;
    }
}
