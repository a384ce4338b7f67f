package org.lacewingstep.standin;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts instances and stand-ins as child processes, and stops or kills them by name. */
final class SiteProcesses implements AutoCloseable {
    private static final int EXIT_TIMEOUT_SECONDS = 30;

    private final Path binary;
    private final Path folder;
    private final Map<String, Process> processes = new HashMap<>();

    /**
     * Creates an empty set of processes.
     *
     * @param binary the path of the product's binary, not null
     */
    SiteProcesses(final Path binary) throws IOException {
        this.binary = binary;
        this.folder = Files.createTempDirectory("lacewingstep-demo");
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
    }

    /**
     * Terminates a process with SIGTERM and waits until the process exits.
     *
     * @param name the name of the process, not null
     * @return the exit code of the process
     */
    int stop(final String name) throws InterruptedException {
        final Process process = processes.get(name);
        process.destroy();
        if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException(name + " did not exit in time");
        }
        return process.exitValue();
    }

    /** Returns the folder for the logs and settings of this run. */
    Path folder() {
        return folder;
    }

    /** Returns a TCP port that is currently free. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** Returns the operating system identifier of a process. */
    long processIdentifier(final String name) {
        return processes.get(name).pid();
    }

    /** Kills a process with SIGKILL and waits until the process exits. */
    void kill(final String name) throws InterruptedException {
        processes.get(name).destroyForcibly().waitFor();
    }

    /**
     * Runs a command of the product and waits until the command exits.
     *
     * @param arguments the command line arguments, not null
     * @return the standard output of the command, never null
     */
    String run(final String... arguments) throws IOException, InterruptedException {
        final List<String> command = new ArrayList<>(List.of(binary.toString()));
        command.addAll(Arrays.asList(arguments));
        final Process process = new ProcessBuilder(command)
                .redirectError(folder.resolve("commands.log").toFile())
                .start();
        final String output = new String(process.getInputStream().readAllBytes());
        final int code = process.waitFor();
        if (code != 0) {
            throw new IllegalStateException(String.join(" ", arguments) + " exited with " + code + ":\n" + output);
        }
        return output.strip();
    }

    /**
     * Starts an instance of the product.
     *
     * @param name the name of the instance, not null
     * @param settings the settings file of the instance, not null
     */
    void startInstance(final String name, final Path settings) throws IOException {
        start(name, List.of(binary.toString(), "serve", "--settings", settings.toString()));
    }

    /**
     * Starts a stand-in.
     *
     * @param name the name of the stand-in, not null
     * @param arguments the kind, the port and the parameters of the stand-in, not null
     */
    void startStandIn(final String name, final String... arguments) throws IOException {
        final List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "--enable-native-access=ALL-UNNAMED",
                "--sun-misc-unsafe-memory-access=allow",
                "-Xmx128m",
                "-cp",
                System.getProperty("java.class.path"),
                StandInMain.class.getName()));
        command.addAll(Arrays.asList(arguments));
        start(name, command);
    }

    private void start(final String name, final List<String> command) throws IOException {
        final ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LACEWINGSTEP_JAVA_OPTIONS", "-Xmx256m");
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
    }
}
