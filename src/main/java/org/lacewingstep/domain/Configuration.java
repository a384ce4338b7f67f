package org.lacewingstep.domain;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.error.Validate;

/**
 * One generation of the configuration set by the operators.
 *
 * @param generation the number of configuration changes so far, zero or more
 * @param failureDomains the failure domains by name, not null
 * @param services the services by name, not null
 * @param upstreams the upstreams by name, not null
 * @param teams the teams by name, not null
 * @param keys the team of each granted key, by the digest of the key, not null
 */
public record Configuration(
        long generation,
        Map<FailureDomainName, FailureDomain> failureDomains,
        Map<ServiceName, Service> services,
        Map<UpstreamName, Upstream> upstreams,
        Map<TeamName, Team> teams,
        Map<KeyDigest, TeamName> keys) {
    /** The empty configuration that is in force until the first one is applied. */
    public static final Configuration EMPTY = new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    /** Validates the generation and copies the maps. */
    public Configuration {
        Validate.notNegative(generation, "generation");
        failureDomains = Map.copyOf(failureDomains);
        services = Map.copyOf(services);
        upstreams = Map.copyOf(upstreams);
        teams = Map.copyOf(teams);
        keys = Map.copyOf(keys);
    }

    /**
     * Finds the team to which a key is granted.
     *
     * @param digest the digest of the key, not null
     * @return the team, empty if the key is not granted
     */
    public Optional<Team> teamOf(final KeyDigest digest) {
        return Optional.ofNullable(keys.get(digest)).map(teams::get);
    }

    /**
     * Finds the service that a selector matches.
     *
     * @param selector the model name or the path from the request, not null
     * @return the service, empty if the selector matches no service
     */
    public Optional<Service> findService(final ServiceSelector selector) {
        return services.values().stream()
                .filter(service -> selector.selects(service.kind()))
                .findFirst();
    }

    /**
     * Lists the upstreams of a service in order of their names.
     *
     * @param service the service, not null
     * @return the upstreams, never null
     */
    public List<Upstream> upstreamsOf(final ServiceName service) {
        return upstreams.values().stream()
                .filter(upstream -> upstream.service().equals(service))
                .sorted(Comparator.comparing(Upstream::name))
                .toList();
    }

    /**
     * Lists the cells of all services in order of their names.
     *
     * @return the cells, never null
     */
    public List<CellName> cells() {
        return upstreams.values().stream()
                .map(Upstream::cell)
                .distinct()
                .sorted()
                .toList();
    }

    /**
     * Lists the cells of a service in order of their names.
     *
     * @param service the service, not null
     * @return the cells, never null
     */
    public List<CellName> cellsOf(final ServiceName service) {
        return upstreamsOf(service).stream()
                .map(Upstream::cell)
                .distinct()
                .sorted()
                .toList();
    }

    /**
     * Lists the upstreams of a cell in order of their names.
     *
     * @param cell the cell, not null
     * @return the upstreams, never null
     */
    public List<Upstream> upstreamsOf(final CellName cell) {
        return upstreams.values().stream()
                .filter(upstream -> upstream.cell().equals(cell))
                .sorted(Comparator.comparing(Upstream::name))
                .toList();
    }

    /**
     * Returns whether an upstream may receive new requests.
     *
     * @param name the name of the upstream, not null
     * @return true if the upstream is configured and not leaving, and its failure domain is in service
     */
    public boolean acceptsRequests(final UpstreamName name) {
        final Upstream upstream = upstreams.get(name);
        if (upstream == null || upstream.leaving()) {
            return false;
        }
        final FailureDomain domain = failureDomains.get(upstream.failureDomain());
        return domain != null && !domain.takenOut();
    }

    /**
     * Returns a copy of this configuration with other failure domains.
     *
     * @param newFailureDomains the failure domains by name, not null
     * @return the copy, never null
     */
    public Configuration withFailureDomains(final Map<FailureDomainName, FailureDomain> newFailureDomains) {
        return new Configuration(generation, newFailureDomains, services, upstreams, teams, keys);
    }

    /**
     * Returns a copy of this configuration with other upstreams.
     *
     * @param newUpstreams the upstreams by name, not null
     * @return the copy, never null
     */
    public Configuration withUpstreams(final Map<UpstreamName, Upstream> newUpstreams) {
        return new Configuration(generation, failureDomains, services, newUpstreams, teams, keys);
    }

    /**
     * Returns a copy of this configuration with other keys.
     *
     * @param newKeys the team of each granted key, by the digest of the key, not null
     * @return the copy, never null
     */
    public Configuration withKeys(final Map<KeyDigest, TeamName> newKeys) {
        return new Configuration(generation, failureDomains, services, upstreams, teams, newKeys);
    }

    /**
     * Returns a copy of this configuration with another generation.
     *
     * @param newGeneration the generation of the copy, zero or more
     * @return the copy, never null
     */
    public Configuration withGeneration(final long newGeneration) {
        return new Configuration(newGeneration, failureDomains, services, upstreams, teams, keys);
    }
}
