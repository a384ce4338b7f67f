package org.lacewingstep.command;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.lacewingstep.settings.InventoryCompiler;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Compiles an inventory and its rules and writes the result to the store as the configuration in force. */
@Command(
        name = "apply",
        mixinStandardHelpOptions = true,
        description = "Checks inventory and rules and applies them; keys of remaining teams are kept.")
final class ApplyCommand implements Callable<Integer> {
    @Option(names = "--inventory", required = true, description = "the inventory, a TOML file")
    private Path inventory;

    @Option(names = "--rules", required = true, description = "the rules, a TOML file")
    private Path rules;

    @Spec
    private CommandSpec spec;

    @Mixin
    private StoreAddressOption store;

    @Override
    public Integer call() {
        final long generation = ConfigurationEditor.edit(
                store.address(), current -> InventoryCompiler.compile(inventory, rules, current));
        spec.commandLine().getOut().println("generation " + generation + " is in the store");
        return 0;
    }
}
