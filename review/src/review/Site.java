package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment on loopback addresses: store, runners, and the project's processes in three zones. */
final class Site implements AutoCloseable {
    static final String[] ZONES = {"braga-a", "braga-b", "guimaraes"};
    static final String KEY = "i9n73hh2b9wu3fexd9dn";
    static final String HOST = "ficu95.example";
    /** The bounds of ipop-minho. */
    static final String BOUNDS =
            """
            {"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,
            "lossSlackMs":200,"configMs":2000,"rollbackSlackMs":250,"skewMaxMs":5000,"revokeEverywhere":true,
            "revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retrySlack":58,"quotaWindowS":8,
            "quotaOver":0.1,"quotaSlack":140000,"coldOver":1.5,"coldSlack":5,"evacMs":5000,"recoverS":12,
            "transitMs":120,"againS":7.1,"enforceFencing":true,"leaseMs":3000,"thawMs":300}""";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long READY_MILLIS = 40_000;

    final Path folder;
    final Recorder recorder;
    final Store store;
    final List<Router> routers = new ArrayList<>();
    final List<Runner> runners = new ArrayList<>();
    private final String network;
    private final AtomicLong lastRequest = new AtomicLong(ThreadLocalRandom.current().nextLong(1L << 40));

    Site(final Recorder recorder) throws IOException {
        this.recorder = recorder;
        final ThreadLocalRandom random = ThreadLocalRandom.current();
        this.network = "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250) + ".";
        this.folder = Files.createTempDirectory("review");
        this.store = new Store(network + "250");
    }

    String host(final int last) {
        return network + last;
    }

    /** Writes the desired state with one key of one tenant. */
    void writeTable(final String routes, final String services, final String tenantLimits) throws IOException {
        store.put(
                "op/config",
                MAPPER.readTree(
                        """
                        {"version":7,"routes":[%s],"services":[%s],
                        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
                        "idleTimeoutMs":15000},
                        "tenants":[{"name":"hule930","apiKeys":["%s"],"priority":1,%s}]}"""
                                .formatted(routes, services, KEY, tenantLimits)));
    }

    void addRouters(final int count) throws IOException {
        for (int i = 0; i < count; i++) {
            final String zone = ZONES[i % ZONES.length];
            routers.add(new Router(
                    folder, "front-" + zone + "-" + (i / ZONES.length + 1), host(i + 1), zone, store.address(), true, BOUNDS));
        }
    }

    /** Starts all processes; exits with 2 if they aren't all ready in time. */
    void start() throws IOException, InterruptedException {
        for (final Runner runner : runners) {
            runner.register();
        }
        for (final Router router : routers) {
            router.start();
        }
        awaitReady();
    }

    void awaitReady() throws InterruptedException {
        final long until = System.nanoTime() + READY_MILLIS * 1_000_000;
        for (final Router router : routers) {
            while (!router.isReady()) {
                if (System.nanoTime() - until > 0 || !router.isAlive()) {
                    throw new CannotRun(router.name + " did not become ready");
                }
                Thread.sleep(50);
            }
        }
        recorder.log("all %d processes are ready", routers.size());
    }

    String nextRequestId() {
        return "%016x".formatted(lastRequest.incrementAndGet());
    }

    /** Returns how long a client waits before it asks again, at most a third of the time that it has left. */
    static double returnSeconds(final Http.Message refusal, final double leftSeconds) {
        final String text = refusal.header("retry-after");
        return Math.min(text.isEmpty() ? 0.1 : Double.parseDouble(text), leftSeconds / 3);
    }

    /** Sends one request on a connection of its own and reads the whole answer; null if there is none. */
    static Http.Message call(final Router router, final String request, final byte[] body, final int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(router.front, 1000);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(Http.ascii(request));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            return Http.read(Http.buffered(socket.getInputStream()), true);
        } catch (final IOException failure) {
            return null;
        }
    }

    @Override
    public void close() throws IOException {
        for (final Router router : routers) {
            router.close();
        }
        for (final Runner runner : runners) {
            runner.close();
        }
        store.close();
        try (var files = Files.list(folder)) {
            for (final Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    /** The case could not run. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(final String message) {
            super(message);
        }
    }
}
