package org.lacewingstep.command;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.lacewingstep.settings.InstanceSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an instance until it is shut down. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Runs an instance; on SIGTERM it finishes the requests it has accepted.")
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--settings", required = true, description = "settings of the instance, a TOML file")
    private Path settings;

    @Override
    public Integer call() throws Exception {
        final InstanceSettings read = InstanceSettings.read(settings);
        LogSetup.configure(read.jsonLog(), read.logLevel());
        try (StandaloneProcess process = new StandaloneProcess(read)) {
            process.start();
            process.awaitExitAllowed();
        }
        return 0;
    }
}
