package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 8: a status report of an engine gets no answer from the store and is carried out seconds later, after the runner's
 * later report that it is draining. Checks whether requests reach the runner later than drainMs after that report.
 */
public final class LateReport {
    private static final String SERVICE = "huvo11a";
    private static final int INSTANCES = 4;
    private static final int RUNNERS = 8;
    private static final int PREFILL_RUNNERS = 2;
    private static final int LEAVING = RUNNERS - 1;
    private static final int EVENTS = 10;
    private static final long FIRST_EVENT_MILLIS = 60;
    private static final long EVENT_MILLIS = 100;
    private static final long REQUEST_INTERVAL_MILLIS = 250;
    /** Time after the report "draining" in which no caller asks. */
    private static final long LULL_AFTER_MILLIS = 400;
    private static final long HEARTBEAT_MILLIS = 1200;
    private static final long CONTACT_MILLIS = 3000;
    private static final long DRAIN_MILLIS = 2000;
    /** Time by which the lost report is late; the site's troubles name 1 to 6 s. */
    private static final long LATE_MILLIS = 5700;
    /** The runner serves for this long after drainMs, then ends. */
    private static final long LONGER_MILLIS = 1300;

    private final Record record;
    private final Store store;
    private final List<Runner> runners = new ArrayList<>();
    private final EngineCalls calls = new EngineCalls();
    private final Map<String, Long> arrivedAtLeaving = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();
    private final List<String> lost = new ArrayList<>();
    private volatile boolean leaving;
    private volatile boolean lull;
    private volatile long drainingAt = Long.MAX_VALUE;

    private LateReport(final Record record) throws IOException {
        this.record = record;
        this.store = new Store("127.0.0.1");
    }

    public static void main(final String[] arguments) {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            code = new LateReport(record).run(trouble);
        } catch (final Exception failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }

    private int run(final boolean trouble) throws Exception {
        store.put("op/config", EngineCalls.configuration(SERVICE));
        for (int number = 0; number < RUNNERS; number++) {
            final Runner runner = new Runner("i-7f3a91c" + number, "127.0.0.2", record, this::serve);
            runners.add(runner);
            store.put("servers/" + runner.identifier, runner.entry(SERVICE, "braga-a", "ready", 1, fields(number)));
        }
        try (Site site = new Site(Path.of("").toAbsolutePath(), record, store, INSTANCES, Bounds.SMALL)) {
            site.start();
            Thread.sleep(CONTACT_MILLIS + 1000);
            final Thread clients = Thread.ofPlatform().start(() -> send(site));
            Thread.sleep(2000);
            leave(trouble);
            clients.join();
        }
        return judge();
    }

    /** Plays the reports of the runner that leaves. */
    private void leave(final boolean trouble) throws Exception {
        final Runner runner = runners.get(LEAVING);
        final long lostAt = record.millis();
        int sequence = 10;
        final String lostReport = runner.entry(SERVICE, "braga-a", "ready", sequence++, fields(LEAVING));
        record.line("report 10 (ready) of " + runner.identifier + (trouble ? " gets no answer" : " is carried out"));
        if (!trouble) {
            store.put("servers/" + runner.identifier, lostReport);
        }
        Thread.sleep(HEARTBEAT_MILLIS);
        report(runner, "ready", sequence++);
        // No caller asks for a while, so that the runner has no request when it begins to leave.
        lull = true;
        Thread.sleep(HEARTBEAT_MILLIS);
        report(runner, "ready", sequence++);
        Thread.sleep(Math.max(0, lostAt + CONTACT_MILLIS + 150 - record.millis()));
        leaving = true;
        report(runner, "draining", sequence++);
        drainingAt = record.millis();
        final long endsAt = drainingAt + DRAIN_MILLIS + LONGER_MILLIS;
        long nextBeat = drainingAt + HEARTBEAT_MILLIS;
        boolean late = trouble;
        Thread.sleep(LULL_AFTER_MILLIS);
        lull = false;
        while (record.millis() < endsAt) {
            if (late && record.millis() >= lostAt + LATE_MILLIS) {
                late = false;
                store.put("servers/" + runner.identifier, lostReport);
                record.line("report 10 (ready) is carried out late, " + (record.millis() - lostAt) + " ms after it was sent");
            }
            if (record.millis() >= nextBeat) {
                nextBeat += HEARTBEAT_MILLIS;
                report(runner, "draining", sequence++);
            }
            Thread.sleep(1);
        }
        store.delete("servers/" + runner.identifier);
        record.line(runner.identifier + " ends");
        runner.reset();
    }

    private void report(final Runner runner, final String state, final int sequence) {
        store.put("servers/" + runner.identifier, runner.entry(SERVICE, "braga-a", state, sequence, fields(LEAVING)));
        record.line("report " + sequence + " (" + state + ") of " + runner.identifier + " is acknowledged");
    }

    private void send(final Site site) {
        final Random random = new Random(1);
        final long end = record.millis() + 12_000;
        int number = 0;
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            while (record.millis() < end) {
                final Site.Instance instance = site.instances.get(random.nextInt(INSTANCES));
                if (!lull) {
                    final String identifier = "verdict-" + number++;
                    clients.submit(() -> request(instance, identifier));
                }
                Thread.sleep(REQUEST_INTERVAL_MILLIS);
            }
        } catch (final InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private void request(final Site.Instance instance, final String identifier) {
        String end;
        try (Socket socket = instance.connect()) {
            socket.setSoTimeout(15_000);
            socket.getOutputStream()
                    .write(EngineCalls.request(identifier, Integer.toHexString(identifier.hashCode()) + ":1700"));
            final HttpMessage answer = HttpMessage.read(socket.getInputStream(), true);
            end = answer == null ? "closed" : answer.status() + (answer.complete() ? "" : " broken off");
        } catch (final IOException failure) {
            end = "no connection";
        }
        ends.computeIfAbsent(end, unused -> new AtomicInteger()).incrementAndGet();
        if (arrivedAtLeaving.containsKey(identifier) && !end.equals("200")) {
            synchronized (lost) {
                lost.add(identifier + " " + end);
            }
        }
        record.line("answer to " + identifier + " at " + instance.name + ": " + end);
    }

    private boolean serve(final Runner runner, final HttpMessage request, final OutputStream output) throws Exception {
        final String identifier = request.header("Request-Id");
        if (calls.answer(runner, request, output)) {
            return true;
        }
        final boolean leaver = runner == runners.get(LEAVING);
        if (leaver) {
            arrivedAtLeaving.put(identifier, record.millis());
        }
        record.line(identifier + " runs at " + runner.identifier);
        Thread.sleep(FIRST_EVENT_MILLIS);
        EngineCalls.head(output, identifier, leaver && leaving ? "Server-Leaving: 1\r\n" : "");
        for (int event = 1; event <= EVENTS; event++) {
            EngineCalls.event(output, event);
            Thread.sleep(EVENT_MILLIS);
        }
        EngineCalls.end(output);
        return true;
    }

    private static String fields(final int number) {
        return EngineCalls.fields(number < PREFILL_RUNNERS ? "prefill" : "decode");
    }

    private int judge() {
        final List<String> late = arrivedAtLeaving.entrySet().stream()
                .filter(arrival -> arrival.getValue() > drainingAt + DRAIN_MILLIS)
                .sorted(Map.Entry.comparingByValue())
                .map(arrival -> arrival.getKey() + " " + (arrival.getValue() - drainingAt) + " ms after the report")
                .toList();
        record.line("requests that reached the leaving runner later than drainMs: " + late);
        record.line("requests that ran there and were not answered: " + lost);
        final String result = late.size() + " requests reached the leaving runner later than drainMs; ends "
                + new TreeMap<>(ends) + "; lost there " + lost;
        record.line(result);
        System.out.println(result);
        return late.isEmpty() ? 0 : 1;
    }
}
