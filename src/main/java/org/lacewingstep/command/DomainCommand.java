package org.lacewingstep.command;

import java.util.HashMap;
import java.util.Map;

import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.FailureDomain;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Takes failure domains out of service and returns them to service. */
@Command(
        name = "domain",
        mixinStandardHelpOptions = true,
        description = "Takes a failure domain out of service or returns it to service.")
final class DomainCommand {
    @Spec
    private CommandSpec spec;

    /**
     * Takes a failure domain out of service; its upstreams receive no new requests.
     *
     * @param store the address option of the store, not null
     * @param name the name of the failure domain, not null
     * @return the exit code
     */
    @Command(
            name = "out",
            mixinStandardHelpOptions = true,
            description = "The failure domain receives no new requests.")
    int takeOutOfService(@Mixin final StoreAddressOption store, @Parameters(paramLabel = "DOMAIN") final String name) {
        return change(store, name, true);
    }

    /**
     * Returns a failure domain to service.
     *
     * @param store the address option of the store, not null
     * @param name the name of the failure domain, not null
     * @return the exit code
     */
    @Command(name = "in", mixinStandardHelpOptions = true, description = "The failure domain receives requests again.")
    int returnToService(@Mixin final StoreAddressOption store, @Parameters(paramLabel = "DOMAIN") final String name) {
        return change(store, name, false);
    }

    private int change(final StoreAddressOption store, final String name, final boolean takenOut) {
        final FailureDomainName domain = new FailureDomainName(name);
        final long generation =
                ConfigurationEditor.edit(store.address(), current -> withTakenOut(current, domain, takenOut));
        spec.commandLine().getOut().println("generation " + generation + " is in the store");
        return 0;
    }

    private static Configuration withTakenOut(
            final Configuration current, final FailureDomainName name, final boolean takenOut) {
        if (!current.failureDomains().containsKey(name)) {
            throw new RouterException(
                    ErrorCode.CONFIGURATION_INVALID, "domain", name.value(), "there is no such failure domain");
        }
        final Map<FailureDomainName, FailureDomain> domains = new HashMap<>(current.failureDomains());
        domains.put(name, new FailureDomain(name, takenOut));
        return current.withFailureDomains(domains);
    }
}
