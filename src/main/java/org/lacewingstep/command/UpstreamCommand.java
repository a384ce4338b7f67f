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

/** Takes upstreams out of service and returns them to service. */
@Command(
        name = "upstream",
        mixinStandardHelpOptions = true,
        description = "Takes an upstream out of service or returns it to service.")
final class UpstreamCommand {
    @Spec
    private CommandSpec spec;

    /**
     * Takes an upstream out of service; it receives no new requests.
     *
     * @param store the address option of the store, not null
     * @param name the name of the upstream, not null
     * @return the exit code
     */
    @Command(name = "leave", mixinStandardHelpOptions = true, description = "The upstream receives no new requests.")
    int takeOutOfService(
            @Mixin final StoreAddressOption store, @Parameters(paramLabel = "UPSTREAM") final String name) {
        return change(store, name, true);
    }

    /**
     * Returns an upstream to service.
     *
     * @param store the address option of the store, not null
     * @param name the name of the upstream, not null
     * @return the exit code
     */
    @Command(name = "return", mixinStandardHelpOptions = true, description = "The upstream receives requests again.")
    int returnToService(@Mixin final StoreAddressOption store, @Parameters(paramLabel = "UPSTREAM") final String name) {
        return change(store, name, false);
    }

    private int change(final StoreAddressOption store, final String name, final boolean leaving) {
        final UpstreamName upstream = new UpstreamName(name);
        final long generation =
                ConfigurationEditor.edit(store.address(), current -> withLeaving(current, upstream, leaving));
        spec.commandLine().getOut().println("generation " + generation + " is in the store");
        return 0;
    }

    private static Configuration withLeaving(
            final Configuration current, final UpstreamName name, final boolean leaving) {
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
