package org.lacewingstep.command;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an instance on a platform until it is shut down. */
@Command(
        name = Main.JOIN_COMMAND,
        mixinStandardHelpOptions = true,
        description = "Runs an instance on a platform that keeps routes and upstreams in its store.")
final class JoinCommand implements Callable<Integer> {
    @Option(names = "--settings", required = true, description = "the platform's settings file, JSON")
    private Path settings;

    @Option(
            names = "--metrics-port",
            defaultValue = JoinArguments.DEFAULT_METRICS_PORT,
            description = "port of metrics and state dump (default: ${DEFAULT-VALUE})")
    private int metricsPort;

    @Option(names = "--log-level", defaultValue = JoinArguments.DEFAULT_LOG_LEVEL, description = "lowest level logged")
    private String logLevel;

    @Override
    public Integer call() throws Exception {
        return new JoinArguments(settings, metricsPort, logLevel).call();
    }
}
