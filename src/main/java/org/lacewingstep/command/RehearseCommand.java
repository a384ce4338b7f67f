package org.lacewingstep.command;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.regex.Pattern;

import org.lacewingstep.platform.RehearsalServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;

/** Starts an instance, serves one call and stops, so that the build can archive the loaded classes. */
@Command(
        name = Main.REHEARSE_COMMAND,
        mixinStandardHelpOptions = true,
        description =
                "Starts an instance on loopback, serves one call and stops; the build archives the loaded classes.")
final class RehearseCommand implements Callable<Integer> {
    private static final Logger LOGGER = LoggerFactory.getLogger(RehearseCommand.class);
    private static final String CLASS_SUFFIX = ".class";

    /** Classes that an instance on a platform may need while it serves. */
    private static final Pattern SERVING_CLASSES = Pattern.compile(
            "org/(lacewingstep/(blackboard|control|controller|domain|error|peer|placement|platform|traffic|upstream)"
                    + "|apache/thrift/protocol)/.*\\.class");

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
                final boolean served = server.callSucceeds(callerPort);
                loadOwnClasses();
                return served ? 0 : 1;
            } finally {
                Files.delete(file);
            }
        }
    }

    /** Loads the classes that the call did not need, such as those of streams, retries and messages of others. */
    private static void loadOwnClasses() throws IOException, URISyntaxException {
        final Path program = Path.of(PlatformProcess.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .toURI());
        if (!Files.isRegularFile(program)) {
            return;
        }
        try (JarFile file = new JarFile(program.toFile())) {
            file.stream()
                    .map(JarEntry::getName)
                    .filter(name -> SERVING_CLASSES.matcher(name).matches())
                    .forEach(RehearseCommand::load);
        }
    }

    private static void load(final String entry) {
        final String name =
                entry.substring(0, entry.length() - CLASS_SUFFIX.length()).replace('/', '.');
        try {
            Class.forName(name, false, RehearseCommand.class.getClassLoader());
        } catch (final ClassNotFoundException | LinkageError failure) {
            LOGGER.warn("class {} will not be in the archive", name, failure);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
