package org.lacewingstep.command;

import java.io.PrintWriter;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.function.Function;

import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the command line. */
@Command(
        name = "lacewingstep",
        mixinStandardHelpOptions = true,
        version = "lacewingstep 0.1.0",
        description = "Routes requests to separate prefill and decode pools and to plain services.",
        subcommands = {
            ApplyCommand.class,
            CheckCommand.class,
            CheckConfigCommand.class,
            DomainCommand.class,
            JoinCommand.class,
            RehearseCommand.class,
            ServeCommand.class,
            StateCommand.class,
            TeamCommand.class,
            UpstreamCommand.class
        },
        footer = {
            "",
            "Examples:",
            "  lacewingstep check settings.toml",
            "  lacewingstep check-config new.json --against present.json",
            "  lacewingstep apply --store http://10.0.0.1:2379 --inventory inventory.toml --rules rules.toml",
            "  lacewingstep serve --settings settings.toml",
            "  lacewingstep team grant-key --store http://10.0.0.1:2379 weavers",
            "  lacewingstep domain out --store http://10.0.0.1:2379 Rundu",
            "  lacewingstep state --instance 10.0.0.2:8081"
        })
public final class Main {
    /** The command whose process reloads its settings. */
    static final String JOIN_COMMAND = "join";

    /** The command that the build runs to archive the loaded classes. */
    static final String REHEARSE_COMMAND = "rehearse";

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_INVALID = 2;

    private Main() {}

    /**
     * Runs a command and exits with its exit code unless that is zero.
     *
     * @param arguments the command line arguments, not null
     */
    public static void main(final String... arguments) {
        if (arguments.length > 0 && JOIN_COMMAND.equals(arguments[0])) {
            ReloadSignal.install();
        }
        final int code = run(arguments);
        if (code != 0) {
            System.exit(code);
        }
    }

    /**
     * Runs a command.
     *
     * @param arguments the command line arguments, not null
     * @return the exit code: 0 success, 1 failure, 2 invalid input
     */
    public static int run(final String... arguments) {
        return instanceCommand(arguments).map(Main::runInstance).orElseGet(() -> runParsed(arguments));
    }

    /** Returns the command of an instance if it can be run without the command line library. */
    private static Optional<Callable<Integer>> instanceCommand(final String... arguments) {
        return List.of(arguments).equals(List.of(REHEARSE_COMMAND))
                ? Optional.of(new RehearseCommand())
                : JoinArguments.parse(arguments).map(Function.identity());
    }

    private static int runInstance(final Callable<Integer> command) {
        try {
            return command.call();
        } catch (final Exception failure) {
            return printError(new PrintWriter(System.err, true), failure);
        }
    }

    private static int runParsed(final String... arguments) {
        LogSetup.configure(false, "warn");
        return new CommandLine(new Main())
                .setExecutionExceptionHandler((failure, line, parsed) -> printError(line.getErr(), failure))
                .execute(arguments);
    }

    private static int printError(final PrintWriter output, final Exception failure) {
        if (!(failure instanceof RouterException routerException)) {
            output.println("error: " + failure);
            return EXIT_FAILED;
        }
        output.println("error " + routerException.code() + " at " + routerException.step() + " with "
                + routerException.subject() + ":");
        output.println(routerException.getMessage());
        final boolean invalid = routerException.code() == ErrorCode.SETTINGS_INVALID
                || routerException.code() == ErrorCode.CONFIGURATION_INVALID;
        return invalid ? EXIT_INVALID : EXIT_FAILED;
    }
}
