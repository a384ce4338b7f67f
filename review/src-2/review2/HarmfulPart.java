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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of a prompt crashes each engine that begins to write an answer on it. Counts the requests with the part that
 * reach engines later than contactMs after the fifth crash, sent by machines in touch.
 */
final class HarmfulPart {
    private static final String HARMFUL_PART = "dead01";
    private static final String SHARED_PART = "5c1e07a2";
    private static final String SERVICE = "huvo11a";
    private static final int INSTANCES = 6;
    private static final int PREFILL_ENGINES = 4;
    private static final int DECODE_ENGINES = 8;
    private static final int EVENTS = 7;
    private static final long FIRST_EVENT_MILLIS = 60;
    private static final long EVENT_MILLIS = 100;
    private static final long CONTACT_MILLIS = 3000;
    private static final long BACK_AFTER_MILLIS = 3000;
    private static final long ENTRY_LIFETIME_MILLIS = 3600;
    private static final long HARMFUL_INTERVAL_MILLIS = 1000;
    private static final long SOUND_INTERVAL_MILLIS = 100;
    private static final int CRASHES_OF_JUDGEMENT = 5;
    private static final int PERMITTED = 3;

    /** What happens: how much of an answer an engine writes before it crashes, and whether all instances are killed. */
    record Plan(boolean crashes, int eventsBeforeCrash, long earliestKillMillis, long latestKillMillis, long endMillis) {
        /** A plan in which no instance is killed. */
        static Plan withoutKill(final boolean crashes, final int eventsBeforeCrash, final long endMillis) {
            return new Plan(crashes, eventsBeforeCrash, Long.MAX_VALUE, Long.MAX_VALUE, endMillis);
        }
    }

    private final Plan plan;
    private final Record record;
    private final Store store;
    private final List<Long> harmfulArrivals = new ArrayList<>();
    private final List<Long> crashes = new ArrayList<>();
    private final Map<String, AtomicInteger> soundEnds = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> harmfulEnds = new ConcurrentHashMap<>();
    private final AtomicInteger engineCount = new AtomicInteger();
    private final EngineCalls calls = new EngineCalls();
    private long killedAt = Long.MAX_VALUE;
    private long inTouchFrom = Long.MAX_VALUE;

    private HarmfulPart(final Record record, final Plan plan) throws IOException {
        this.record = record;
        this.plan = plan;
        this.store = new Store("127.0.0.1");
    }

    /** Plays a plan; returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static int play(final Path recordFile, final Plan plan) {
        try (Record record = new Record(recordFile)) {
            return new HarmfulPart(record, plan).run();
        } catch (final Exception failure) {
            failure.printStackTrace();
            return 2;
        }
    }

    private int run() throws Exception {
        store.put("op/config", EngineCalls.configuration(SERVICE));
        for (int engine = 0; engine < PREFILL_ENGINES + DECODE_ENGINES; engine++) {
            startEngine(engine < PREFILL_ENGINES ? "prefill" : "decode");
        }
        try (Site site = new Site(Path.of("").toAbsolutePath(), record, store, INSTANCES, Bounds.SMALL)) {
            site.start();
            Thread.sleep(CONTACT_MILLIS + 1000);
            send(site);
            return judge();
        }
    }

    private void send(final Site site) throws Exception {
        final long begin = record.millis();
        final Random random = new Random(1);
        long nextSound = begin;
        long nextHarmful = begin + 2000;
        int number = 0;
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            while (record.millis() < begin + plan.endMillis()) {
                final long now = record.millis();
                if (killedAt == Long.MAX_VALUE && isKillDue(now - begin)) {
                    restartAll(site);
                }
                final Site.Instance instance = site.instances.get(random.nextInt(INSTANCES));
                if (now >= nextSound) {
                    nextSound += SOUND_INTERVAL_MILLIS;
                    final String identifier = "sound-" + number++;
                    clients.submit(() -> request(instance, identifier, false));
                } else if (now >= nextHarmful) {
                    nextHarmful += HARMFUL_INTERVAL_MILLIS;
                    final String identifier = "harmful-" + number++;
                    clients.submit(() -> request(instance, identifier, true));
                }
                Thread.sleep(5);
            }
        }
    }

    /** Kills once the part is quarantined: five crashes or more, and none for some seconds. */
    private synchronized boolean isKillDue(final long elapsed) {
        final boolean calm = crashes.size() >= CRASHES_OF_JUDGEMENT && record.millis() > crashes.getLast() + 10_000;
        return elapsed >= plan.latestKillMillis() || calm && elapsed >= plan.earliestKillMillis();
    }

    private void restartAll(final Site site) throws Exception {
        killedAt = record.millis();
        for (final Site.Instance instance : site.instances) {
            instance.signal("KILL");
        }
        for (final Site.Instance instance : site.instances) {
            instance.process.waitFor();
        }
        for (final Site.Instance instance : site.instances) {
            instance.start();
        }
        inTouchFrom = record.millis() + CONTACT_MILLIS;
    }

    private synchronized int judge() {
        record.line("ends of sound requests: " + new TreeMap<>(soundEnds));
        record.line("ends of requests with the part: " + new TreeMap<>(harmfulEnds));
        record.line("crashes at: " + crashes);
        final long fifth = crashes.size() < CRASHES_OF_JUDGEMENT ? Long.MAX_VALUE : crashes.get(CRASHES_OF_JUDGEMENT - 1);
        final List<Long> late = harmfulArrivals.stream()
                .filter(at -> fifth < at - CONTACT_MILLIS && (at < killedAt || at > inTouchFrom))
                .toList();
        final String result = crashes.size() + " crashes; requests with the part that reached engines later than contactMs"
                + " after the fifth, sent by machines in touch: " + late.size() + ", permitted " + PERMITTED
                + "; sound requests " + new TreeMap<>(soundEnds);
        record.line("late requests at: " + late);
        record.line(result);
        System.out.println(result);
        return late.size() > PERMITTED ? 1 : 0;
    }

    private void request(final Site.Instance instance, final String identifier, final boolean harmful) {
        final String own = Integer.toHexString(identifier.hashCode());
        final String prefix = SHARED_PART + ":200," + (harmful ? HARMFUL_PART + ":50," : "") + own + ":1500";
        String end;
        try (Socket socket = instance.connect()) {
            socket.setSoTimeout(15_000);
            socket.getOutputStream().write(EngineCalls.request(identifier, prefix));
            final HttpMessage answer = HttpMessage.read(socket.getInputStream(), true);
            end = answer == null ? "closed" : answer.status() + (answer.complete() ? "" : " broken off");
        } catch (final IOException failure) {
            end = "no connection";
        }
        (harmful ? harmfulEnds : soundEnds).computeIfAbsent(end, unused -> new AtomicInteger()).incrementAndGet();
        record.line("answer to " + identifier + " at " + instance.name + ": " + end);
    }

    private void startEngine(final String stage) throws IOException {
        final String identifier = "i-" + engineCount.incrementAndGet();
        final Runner engine = new Runner(identifier, "127.0.0.2", record, this::serve);
        store.put("servers/" + identifier, engine.entry(SERVICE, "braga-a", "ready", 1, EngineCalls.fields(stage)));
    }

    private boolean serve(final Runner engine, final HttpMessage request, final OutputStream output) throws Exception {
        return calls.answer(engine, request, output) || stream(engine, request, output);
    }

    private boolean stream(final Runner engine, final HttpMessage request, final OutputStream output) throws Exception {
        final String identifier = request.header("Request-Id");
        final boolean harmful = request.header("Prompt-Prefix").contains(HARMFUL_PART + ":");
        if (harmful) {
            synchronized (this) {
                harmfulArrivals.add(record.millis());
            }
            record.line(identifier + " reached " + engine.identifier);
        }
        Thread.sleep(FIRST_EVENT_MILLIS);
        EngineCalls.head(output, identifier, "");
        for (int event = 1; event <= EVENTS; event++) {
            EngineCalls.event(output, event);
            if (plan.crashes() && harmful && event == plan.eventsBeforeCrash()) {
                Thread.sleep(5);
                crash(engine);
                return false;
            }
            Thread.sleep(EVENT_MILLIS);
        }
        EngineCalls.end(output);
        return true;
    }

    private void crash(final Runner engine) throws IOException {
        synchronized (this) {
            crashes.add(record.millis());
            record.line(engine.identifier + " crashes, crash " + crashes.size());
        }
        engine.reset();
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(BACK_AFTER_MILLIS);
                startEngine("decode");
                Thread.sleep(ENTRY_LIFETIME_MILLIS - BACK_AFTER_MILLIS);
                store.delete("servers/" + engine.identifier);
            } catch (final IOException | InterruptedException failure) {
                record.line("an engine did not come back: " + failure);
            }
        });
    }
}
