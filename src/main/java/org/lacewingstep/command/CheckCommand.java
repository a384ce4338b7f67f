package org.lacewingstep.command;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.lacewingstep.domain.Configuration;
import org.lacewingstep.platform.PlatformSettings;
import org.lacewingstep.platform.SiteContracts;
import org.lacewingstep.settings.InstanceSettings;
import org.lacewingstep.settings.InventoryCompiler;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Validates settings, or an inventory with its rules, without writing to the store. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Checks settings, or an inventory with its rules; lists every fault and exits with 2 if there are any.")
final class CheckCommand implements Callable<Integer> {
    @Option(names = "--inventory", description = "the inventory, checked together with --rules")
    private Path inventory;

    @Option(names = "--rules", description = "the rules, checked together with --inventory")
    private Path rules;

    @Option(names = "--platform", description = "settings that a platform passes to an instance, a JSON file")
    private Path platform;

    @Parameters(arity = "0..1", paramLabel = "SETTINGS", description = "settings of an instance, a TOML file")
    private Path settings;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        if ((inventory == null) != (rules == null) || settings == null && inventory == null && platform == null) {
            throw new ParameterException(
                    spec.commandLine(), "give SETTINGS, --platform, or --inventory together with --rules");
        }
        if (platform != null) {
            printContracts(PlatformSettings.read(platform).contracts());
        }
        if (settings != null) {
            InstanceSettings.read(settings);
        }
        if (inventory != null) {
            InventoryCompiler.compile(inventory, rules, Configuration.EMPTY);
        }
        spec.commandLine().getOut().println("no faults");
        return 0;
    }

    private void printContracts(final SiteContracts contracts) {
        final PrintWriter out = spec.commandLine().getOut();
        out.println("in force: " + String.join(", ", contracts.inForce()));
        out.println("not in force: " + String.join(", ", contracts.notInForce()));
        out.println("unknown, ignored: " + String.join(", ", contracts.unknown()));
    }
}
