package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
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
 * Case 6: the entry of a runner comes from another writer for one heartbeat; it lacks fields and names another service.
 * Checks whether requests are run by a service to which no desired state allows them to go.
 */
public final class ForeignEntry {
    private static final String BOOKINGS = "wuno96b";
    private static final String RECORDS = "huvo11a";
    private static final int INSTANCES = 3;
    private static final int RUNNERS_OF_A_SERVICE = 2;
    private static final long WORK_MILLIS = 43;
    private static final long REQUEST_INTERVAL_MILLIS = 30;
    private static final long HEARTBEAT_MILLIS = 1200;
    private static final long CONTACT_MILLIS = 3000;
    private static final int HEARTBEATS_BEFORE = 3;
    private static final int HEARTBEATS_AFTER = 3;

    private final Record record;
    private final Store store;
    private final Map<String, List<Runner>> runners = new TreeMap<>();
    private final Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();
    private final List<String> misplaced = new ArrayList<>();
    private volatile boolean ended;

    private ForeignEntry(final Record record) throws IOException {
        this.record = record;
        this.store = new Store("127.0.0.1");
    }

    public static void main(final String[] arguments) {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            code = new ForeignEntry(record).run(trouble);
        } catch (final Exception failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }

    private int run(final boolean trouble) throws Exception {
        store.put("op/config", configuration());
        for (final String service : List.of(BOOKINGS, RECORDS)) {
            runners.put(service, new ArrayList<>());
            for (int number = 0; number < RUNNERS_OF_A_SERVICE; number++) {
                final Runner runner = new Runner("i-" + service + number, "127.0.0.2", record,
                        (self, request, output) -> serve(self, service, request, output));
                runners.get(service).add(runner);
                report(runner, service, 1);
            }
        }
        try (Site site = new Site(Path.of("").toAbsolutePath(), record, store, INSTANCES, Bounds.SMALL)) {
            site.start();
            Thread.sleep(CONTACT_MILLIS + 1000);
            final Thread clients = Thread.ofPlatform().start(() -> send(site));
            for (int beat = 1; beat <= HEARTBEATS_BEFORE + HEARTBEATS_AFTER; beat++) {
                for (final Map.Entry<String, List<Runner>> service : runners.entrySet()) {
                    for (final Runner runner : service.getValue()) {
                        report(runner, service.getKey(), beat + 1);
                    }
                }
                if (trouble && beat == HEARTBEATS_BEFORE) {
                    writeForeignEntry();
                }
                Thread.sleep(HEARTBEAT_MILLIS);
            }
            ended = true;
            clients.join();
        }
        return judge();
    }

    private void report(final Runner runner, final String service, final int sequence) {
        store.put("servers/" + runner.identifier, runner.entry(service, "braga-a", "ready", sequence, ""));
    }

    /** Writes an entry without seq, version, coldRemainingMs and born; the runner's next report replaces it. */
    private void writeForeignEntry() {
        final Runner runner = runners.get(RECORDS).getFirst();
        final String entry = "{\"service\":\"" + BOOKINGS + "\",\"address\":\"" + runner.address()
                + "\",\"zone\":\"braga-a\",\"slots\":6,\"state\":\"ready\"}";
        store.put("servers/" + runner.identifier, entry);
        record.line("another writer writes servers/" + runner.identifier + " " + entry);
    }

    private void send(final Site site) {
        final Random random = new Random(1);
        int number = 0;
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            while (!ended) {
                final Site.Instance instance = site.instances.get(random.nextInt(INSTANCES));
                final String identifier = "booking-" + number++;
                clients.submit(() -> request(instance, identifier));
                Thread.sleep(REQUEST_INTERVAL_MILLIS);
            }
        } catch (final InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private void request(final Site.Instance instance, final String identifier) {
        String end;
        try (Socket socket = instance.connect()) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(("POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + identifier
                    + "\r\nDeadline-Ms: 2500\r\nApi-Key: k1\r\nContent-Length: 5\r\n\r\nhello").getBytes(StandardCharsets.ISO_8859_1));
            final HttpMessage answer = HttpMessage.read(socket.getInputStream(), true);
            end = answer == null
                    ? "closed"
                    : answer.status() + (answer.complete() ? "" : " broken off") + " " + new String(answer.body(), StandardCharsets.ISO_8859_1);
        } catch (final IOException failure) {
            end = "no connection";
        }
        ends.computeIfAbsent(end, unused -> new AtomicInteger()).incrementAndGet();
        record.line("answer to " + identifier + " at " + instance.name + ": " + end);
    }

    private boolean serve(
            final Runner runner, final String service, final HttpMessage request, final OutputStream output)
            throws Exception {
        if (!request.header("Expect-Instance").equals(runner.identifier)) {
            Runner.answer(output, request, 421, "Instance-Id: " + runner.identifier + "\r\n", new byte[0]);
            return true;
        }
        final String identifier = request.header("Request-Id");
        record.line(identifier + " runs at " + runner.identifier + " of " + service);
        if (!service.equals(BOOKINGS)) {
            synchronized (misplaced) {
                misplaced.add(identifier);
            }
        }
        Thread.sleep(WORK_MILLIS);
        Runner.answer(output, request, 200, "Response-Seal: seal-" + identifier + "\r\n",
                ("answer of " + service).getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }

    private int judge() {
        final String result = misplaced.size() + " bookings were run by a service to which no desired state lets them go; ends "
                + new TreeMap<>(ends);
        record.line("bookings run by " + RECORDS + ": " + misplaced);
        record.line(result);
        System.out.println(result);
        return misplaced.isEmpty() ? 0 : 1;
    }

    private static String configuration() {
        return """
                {"version":7,"routes":[{"name":"r-1","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"unsafe",
                "timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"%s","maxAttempts":1,"anonymous":false},
                {"name":"r-2","host":"ficu95.example","pathPrefix":"/cufi504/","kind":"safe",
                "timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"%s","maxAttempts":2,"anonymous":false}],
                "services":[{"name":"%s","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,
                "coldStartS":0.0,"coldPerS":0.0},{"name":"%s","healthPath":"/health","maxConnections":110,"protocol":"h1",
                "tls":false,"coldStartS":0.0,"coldPerS":0.0}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"hule930","apiKeys":["k1"],"priority":1,"unit":"token_stream","plainTokens":200,
                "ratePerS":36000,"burst":36000}]}"""
                .formatted(BOOKINGS, RECORDS, BOOKINGS, RECORDS);
    }
}
