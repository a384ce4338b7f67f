package org.lacewingstep.domain;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.error.Validate;

/**
 * One generation of the operators' configuration.
 *
 * @param generation the number of changes so far, zero or more
 * @param failureDomains the failure domains by name, not null
 * @param services the services by name, not null
 * @param upstreams the upstreams by name, not null
 * @param teams the teams by name, not null
 * @param keys the team of each granted key, not null
 */
public record Configuration(
        long generation,
        Map<FailureDomainName, FailureDomain> failureDomains,
        Map<ServiceName, Service> services,
        Map<UpstreamName, Upstream> upstreams,
        Map<TeamName, Team> teams,
        Map<KeyDigest, TeamName> keys) {
    /** The configuration before the first one was applied. */
    public static final Configuration EMPTY = new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    /** Checks the generation and copies the maps. */
    public Configuration {
        Validate.notNegative(generation, "generation");
        failureDomains = Map.copyOf(failureDomains);
        services = Map.copyOf(services);
        upstreams = Map.copyOf(upstreams);
        teams = Map.copyOf(teams);
        keys = Map.copyOf(keys);
    }

    /**
     * Finds the team of a key.
     *
     * @param digest the key's digest, not null
     * @return the team, empty if the key is not granted
     */
    public Optional<Team> teamOf(final KeyDigest digest) {
        return Optional.ofNullable(keys.get(digest)).map(teams::get);
    }

    /**
     * Finds the service that a caller names.
     *
     * @param selector the caller's words, not null
     * @return the service, empty if none matches
     */
    public Optional<Service> find(final ServiceSelector selector) {
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
     * Tells whether an upstream may get new work.
     *
     * @param name the upstream, not null
     * @return true if it is known, stays, and its failure domain is in
     */
    public boolean acceptsWork(final UpstreamName name) {
        final Upstream upstream = upstreams.get(name);
        if (upstream == null || upstream.leaving()) {
            return false;
        }
        final FailureDomain domain = failureDomains.get(upstream.failureDomain());
        return domain != null && !domain.takenOut();
    }

    /**
     * Copies this configuration with other failure domains.
     *
     * @param next the failure domains, not null
     * @return the copy, never null
     */
    public Configuration withFailureDomains(final Map<FailureDomainName, FailureDomain> next) {
        return new Configuration(generation, next, services, upstreams, teams, keys);
    }

    /**
     * Copies this configuration with other upstreams.
     *
     * @param next the upstreams, not null
     * @return the copy, never null
     */
    public Configuration withUpstreams(final Map<UpstreamName, Upstream> next) {
        return new Configuration(generation, failureDomains, services, next, teams, keys);
    }

    /**
     * Copies this configuration with other keys.
     *
     * @param next the team of each granted key, not null
     * @return the copy, never null
     */
    public Configuration withKeys(final Map<KeyDigest, TeamName> next) {
        return new Configuration(generation, failureDomains, services, upstreams, teams, next);
    }

    /**
     * Copies this configuration under another generation.
     *
     * @param next the generation
     * @return the copy, never null
     */
    public Configuration withGeneration(final long next) {
        return new Configuration(next, failureDomains, services, upstreams, teams, keys);
    }
}
