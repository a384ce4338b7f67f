package org.lacewingstep.platform;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import org.lacewingstep.settings.Faults;

/**
 * The contracts that a settings file declares. A file without the list has all of them in force that
 * are as old as such files.
 *
 * @param declared the names in the file, empty if the file has no list, not null
 */
public record SiteContracts(Optional<Set<String>> declared) {
    /** Contracts of the pages that this version knows, with and without bounds of their own. */
    private static final Set<String> KNOWN = Set.of(
            "base",
            "drain",
            "config",
            "cost",
            "retry",
            "recover",
            "health",
            "pool",
            "split",
            "stream",
            "engine",
            "tenants",
            "quota",
            "places",
            "pressure",
            "rollout",
            "platform");

    /** Contracts that are younger than the list, so a file without it does not mean them. */
    private static final Set<String> ONLY_DECLARED = Set.of("rollout");

    private static final String KEY = "contracts";

    /** Copies the names. */
    public SiteContracts {
        declared = declared.map(Set::copyOf);
    }

    /**
     * Reads the list of contracts.
     *
     * @param root the settings, not null
     * @param faults collects the faults of the list, not null
     * @return the contracts, never null
     */
    static SiteContracts read(final JsonNode root, final Faults faults) {
        final JsonNode list = root.path(KEY);
        if (list.isMissingNode()) {
            return new SiteContracts(Optional.empty());
        }
        final Set<String> names = new HashSet<>();
        if (!list.isArray()) {
            faults.add(KEY, "must be a list of names");
        }
        for (final JsonNode name : list) {
            if (name.isTextual() && !name.asText().isBlank()) {
                names.add(name.asText());
            } else {
                faults.add(KEY, "must hold names only");
            }
        }
        return new SiteContracts(Optional.of(names));
    }

    /**
     * Returns whether a contract is in force.
     *
     * @param contract the name of the contract, not null
     * @return true if the file declares the contract, or has no list and is as old as the contract
     */
    public boolean isInForce(final String contract) {
        return declared.map(names -> names.contains(contract)).orElse(!ONLY_DECLARED.contains(contract));
    }

    /**
     * Lists the contracts with bounds that are in force.
     *
     * @return the names in alphabetical order, never null
     */
    public Set<String> inForce() {
        return bounded().stream().filter(this::isInForce).collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Lists the contracts with bounds that are not in force, whose absent bounds take defaults.
     *
     * @return the names in alphabetical order, never null
     */
    public Set<String> notInForce() {
        return bounded().stream().filter(name -> !isInForce(name)).collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Lists the declared contracts that this version does not know and ignores.
     *
     * @return the names in alphabetical order, never null
     */
    public Set<String> unknown() {
        return declared.orElse(Set.of()).stream()
                .filter(name -> !KNOWN.contains(name))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static Set<String> bounded() {
        return Arrays.stream(SiteBound.values()).map(SiteBound::contract).collect(Collectors.toSet());
    }
}
