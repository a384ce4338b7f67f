package org.lacewingstep.command;

import java.util.HashMap;
import java.util.Map;

import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Lets upstreams leave and return. */
@Command(
        name = "upstream",
        mixinStandardHelpOptions = true,
        description = "Lets an upstream leave service or return to it.")
final class UpstreamCommand {
    @Spec
    private CommandSpec spec;

    /**
     * Lets an upstream leave; it gets no new work.
     *
     * @param store the store, not null
     * @param name the upstream, not null
     * @return the exit code
     */
    @Command(name = "leave", mixinStandardHelpOptions = true, description = "No new work goes to the upstream.")
    int leave(@Mixin final StoreOption store, @Parameters(paramLabel = "UPSTREAM") final String name) {
        return change(store, name, true);
    }

    /**
     * Lets an upstream return.
     *
     * @param store the store, not null
     * @param name the upstream, not null
     * @return the exit code
     */
    @Command(name = "return", mixinStandardHelpOptions = true, description = "The upstream gets work again.")
    int comeBack(@Mixin final StoreOption store, @Parameters(paramLabel = "UPSTREAM") final String name) {
        return change(store, name, false);
    }

    private int change(final StoreOption store, final String name, final boolean leaving) {
        final UpstreamName upstream = new UpstreamName(name);
        final long generation =
                ConfigurationEditor.edit(store.address(), current -> replace(current, upstream, leaving));
        spec.commandLine().getOut().println("generation " + generation + " is in the store");
        return 0;
    }

    private static Configuration replace(final Configuration current, final UpstreamName name, final boolean leaving) {
        final Upstream found = current.upstreams().get(name);
        if (found == null) {
            throw new RouterException(
                    ErrorCode.CONFIGURATION_INVALID, "upstream", name.value(), "there is no such upstream");
        }
        final Map<UpstreamName, Upstream> upstreams = new HashMap<>(current.upstreams());
        upstreams.put(name, found.withLeaving(leaving));
        return current.withUpstreams(upstreams);
    }
}
