package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The router's processes on loopback addresses, started by the command of the deploy file. */
final class Site implements AutoCloseable {
    /** One instance of the router. */
    final class Instance {
        final String name;
        final String host;
        final int frontPort;
        final int readyPort;
        final int metricsPort;
        final Path settings;
        Process process;

        private Instance(final int number) throws IOException {
            name = "front-braga-a-" + number;
            host = "127.0.0." + (10 + number);
            frontPort = freePort(host);
            readyPort = freePort(host);
            metricsPort = freePort(host);
            settings = folder.resolve(name + ".json");
            Files.writeString(settings, settingsText(this, freePort(host)));
        }

        void start() throws IOException {
            final List<String> words = new ArrayList<>();
            for (final String word : deployCommand()) {
                words.add(switch (word) {
                    case "/etc/lacewingstep/node.json" -> settings.toString();
                    case "9464" -> Integer.toString(metricsPort);
                    default -> word;
                });
            }
            process = new ProcessBuilder(words)
                    .directory(repository.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve(name + ".log").toFile())
                    .start();
            record.line("started " + name + ", process " + process.pid());
        }

        void signal(final String signal) throws Exception {
            record.line("signal " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(host, readyPort), 500);
                socket.setSoTimeout(500);
                socket.getOutputStream()
                        .write("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
                final HttpMessage answer = HttpMessage.read(socket.getInputStream(), true);
                return answer != null && answer.status() == 200;
            } catch (final IOException failure) {
                return false;
            }
        }

        Socket connect() throws IOException {
            final Socket socket = new Socket();
            socket.connect(new InetSocketAddress(host, frontPort), 1000);
            socket.setTcpNoDelay(true);
            return socket;
        }
    }

    private static final long LONGEST_RUN_MILLIS = 117_000;
    private static final int COULD_NOT_RUN = 2;
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 12_000;
    private static final int PORT_STEP = 17;
    private static final AtomicInteger nextPort = new AtomicInteger((int) ProcessHandle.current().pid() * 1201);

    final List<Instance> instances = new ArrayList<>();
    final Path folder;
    private final Path repository;
    private final Record record;
    private final Store store;
    private final String bounds;

    Site(final Path repository, final Record record, final Store store, final int count, final String bounds)
            throws Exception {
        this.repository = repository;
        this.record = record;
        this.store = store;
        this.bounds = bounds;
        this.folder = Files.createTempDirectory("review-2-");
        for (int number = 1; number <= count; number++) {
            instances.add(new Instance(number));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        Thread.ofPlatform().daemon().start(() -> {
            try {
                Thread.sleep(LONGEST_RUN_MILLIS);
                record.line("the case takes too long");
                System.exit(COULD_NOT_RUN);
            } catch (final InterruptedException interruption) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private synchronized void endProcesses() {
        for (final Instance instance : instances) {
            if (instance.process != null && instance.process.isAlive()) {
                instance.process.destroyForcibly();
            }
        }
    }

    void start() throws Exception {
        for (final Instance instance : instances) {
            instance.start();
        }
        awaitReady(30_000);
    }

    void awaitReady(final long limitMillis) throws Exception {
        final long until = System.currentTimeMillis() + limitMillis;
        while (!instances.stream().allMatch(Instance::isReady)) {
            if (System.currentTimeMillis() > until) {
                throw new IllegalStateException("the instances did not become ready");
            }
            Thread.sleep(100);
        }
        record.line("all instances are ready");
    }

    @Override
    public void close() throws Exception {
        endProcesses();
        for (final Instance instance : instances) {
            if (instance.process != null) {
                instance.process.waitFor(5, TimeUnit.SECONDS);
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.list(folder)) {
                for (final Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        }
    }

    /** Finds a port below the ephemeral range, another one at each call, so that no connection takes it meanwhile. */
    static int freePort(final String host) throws IOException {
        for (int tries = 0; tries < PORTS; tries++) {
            final int port = FIRST_PORT + Math.floorMod(nextPort.getAndAdd(PORT_STEP), PORTS);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                return socket.getLocalPort();
            } catch (final IOException taken) {
                continue;
            }
        }
        throw new IOException("no port is free at " + host);
    }

    /** Reads the command of the deploy file; another JDK takes the place of one that this machine lacks. */
    private List<String> deployCommand() throws IOException {
        final Matcher matcher = Pattern.compile("(?m)^run = \"([^\"]*)\"")
                .matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IllegalStateException("the deploy file has no command");
        }
        final List<String> words = new ArrayList<>(Arrays.asList(matcher.group(1).split(" ")));
        if (!Files.isExecutable(Path.of(words.getFirst()))) {
            words.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        }
        return words;
    }

    private String settingsText(final Instance instance, final int peerPort) {
        return """
                {"node": "%s", "role": "router", "machineClass": "front", "serves": ["front"], "ip": "%s",
                 "zone": "braga-a", "region": "norte-pt", "zones": {"braga-a": "norte-pt"},
                 "listen": {"front": "%s:%d", "ready": "%s:%d"}, "internalPorts": [%d, %d],
                 "seeds": [], "bootstrap": true, "inFaultBudget": false,
                 "limits": {"cpuShare": 0.75, "cores": 1, "memoryMb": 430, "maxFds": 4100, "linkMbps": 1000.0,
                 "diskMb": 0}, "dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
                 "contracts": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine",
                 "tenants", "quota", "places", "platform"],
                 "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
                 "bounds": %s,
                 "platform": {"address": "127.0.0.1:%d", "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                 "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000}}
                """
                .formatted(
                        instance.name,
                        instance.host,
                        instance.host,
                        instance.frontPort,
                        instance.host,
                        instance.readyPort,
                        peerPort,
                        peerPort + 15,
                        bounds,
                        store.port());
    }
}
