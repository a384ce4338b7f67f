package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the project, started with the command of the deploy file on a loopback address of its own. */
final class Router implements AutoCloseable {
    private static final String SETTINGS_PATH = "/etc/lacewingstep/node.json";

    final String name;
    final String host;
    final String zone;
    final InetSocketAddress front;
    private final InetSocketAddress ready;
    private final Path log;
    private final Path settings;

    private Process process;

    Router(
            final Path folder,
            final String name,
            final String host,
            final String zone,
            final String storeAddress,
            final boolean bootstrap,
            final String bounds)
            throws IOException {
        this.name = name;
        this.host = host;
        this.zone = zone;
        final int[] ports = freePorts(host);
        this.front = new InetSocketAddress(host, ports[0]);
        this.ready = new InetSocketAddress(host, ports[1]);
        this.log = folder.resolve(name + ".log");
        this.settings = folder.resolve(name + ".json");
        writeSettings(bootstrap, storeAddress, ports[2], bounds);
    }

    private void writeSettings(
            final boolean bootstrap, final String storeAddress, final int peerPort, final String bounds)
            throws IOException {
        Files.writeString(
                settings,
                """
                {"node":"%s","role":"router","machineClass":"front","serves":["front"],"ip":"%s","zone":"%s",
                "region":"norte-pt","zones":{"braga-a":"norte-pt","braga-b":"norte-pt","guimaraes":"norte-pt"},
                "listen":{"front":"%s:%d","ready":"%s:%d"},"internalPorts":[%d,%d],"seeds":[],"bootstrap":%b,
                "inFaultBudget":false,
                "limits":{"cpuShare":0.75,"cores":1,"memoryMb":430,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},
                "dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
                "faultTolerance":{"machines":1,"zones":1,"regions":0},
                "bounds":%s,
                "platform":{"address":"%s","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,
                "valueBytes":1048576,"ttlMinMs":1000}}"""
                        .formatted(
                                name,
                                host,
                                zone,
                                host,
                                front.getPort(),
                                host,
                                ready.getPort(),
                                peerPort,
                                peerPort,
                                bootstrap,
                                bounds,
                                storeAddress));
    }

    /** Starts the process; its output goes to a file of its own. */
    void start() throws IOException {
        final List<String> command = new ArrayList<>();
        for (final String word : deployCommand()) {
            command.add(word.equals(SETTINGS_PATH) ? settings.toString() : word);
        }
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    private static List<String> deployCommand() throws IOException {
        for (final String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("the deploy file names no command");
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(ready, 500);
            socket.setSoTimeout(500);
            socket.getOutputStream().write(Http.ascii("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"));
            final Http.Message answer = Http.readHead(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (final IOException unreachable) {
            return false;
        }
    }

    void signal(final String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean awaitExit(final long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }


    Path log() {
        return log;
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (final InterruptedException interruption) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static int[] freePorts(final String host) throws IOException {
        final int[] ports = new int[3];
        final List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < ports.length; i++) {
            final ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host));
            sockets.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (final ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }
}
