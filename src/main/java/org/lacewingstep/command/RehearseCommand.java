package org.lacewingstep.command;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.lacewingstep.platform.RehearsalServer;
import picocli.CommandLine.Command;

/** Starts an instance, serves one call and stops, so that the build can archive the loaded classes. */
@Command(
        name = Main.REHEARSE_COMMAND,
        mixinStandardHelpOptions = true,
        description =
                "Starts an instance on loopback, serves one call and stops; the build archives the loaded classes.")
final class RehearseCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        LogSetup.configureLimited("info");
        final int callerPort = freePort();
        try (RehearsalServer server = new RehearsalServer()) {
            final Path file = Files.createTempFile("rehearsal", ".json");
            Files.writeString(file, server.settings(freePort(), callerPort, freePort()));
            try (PlatformProcess process = new PlatformProcess(file, freePort())) {
                process.start();
                server.awaitStoreRead();
                return server.callSucceeds(callerPort) ? 0 : 1;
            } finally {
                Files.delete(file);
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
