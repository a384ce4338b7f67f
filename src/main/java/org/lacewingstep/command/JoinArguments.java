package org.lacewingstep.command;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;

/**
 * The arguments with which an instance runs on a platform.
 *
 * @param settings the platform's settings file, not null
 * @param metricsPort the port of metrics and state dump
 * @param logLevel the lowest level logged, not null
 */
record JoinArguments(Path settings, int metricsPort, String logLevel) implements Callable<Integer> {
    /** Port of metrics and state dump unless one is given. */
    static final String DEFAULT_METRICS_PORT = "9464";

    /** Lowest level logged unless one is given. */
    static final String DEFAULT_LOG_LEVEL = "info";

    /**
     * Parses plain arguments without the command line library, whose classes and reflection take half of the processor
     * time of a start.
     *
     * @param arguments the arguments of the process, not null
     * @return the arguments, empty if they are not a command {@code join} with options of one value each
     */
    static Optional<JoinArguments> parse(final String... arguments) {
        if (arguments.length % 2 == 0 || !Main.JOIN_COMMAND.equals(arguments[0])) {
            return Optional.empty();
        }
        Path settings = null;
        String port = DEFAULT_METRICS_PORT;
        String level = DEFAULT_LOG_LEVEL;
        for (int i = 1; i < arguments.length; i += 2) {
            switch (arguments[i]) {
                case "--settings" -> settings = Path.of(arguments[i + 1]);
                case "--metrics-port" -> port = arguments[i + 1];
                case "--log-level" -> level = arguments[i + 1];
                default -> {
                    return Optional.empty();
                }
            }
        }
        return settings != null && port.matches("[0-9]{1,5}")
                ? Optional.of(new JoinArguments(settings, Integer.parseInt(port), level))
                : Optional.empty();
    }

    @Override
    public Integer call() throws Exception {
        LogSetup.configureLimited(logLevel);
        try (PlatformProcess process = new PlatformProcess(settings, metricsPort)) {
            process.start();
            process.awaitExitAllowed();
        }
        return 0;
    }
}
