package org.lacewingstep.domain;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.lacewingstep.error.Validate;

/**
 * One version of the routes, services, teams and limits set by the operators.
 *
 * @param version the version number; a newer table has a higher one
 * @param routes the routes by host in lower case, longest path prefix first, not null
 * @param services the services by name, not null
 * @param teams the teams by name, not null
 * @param keys the team of each key, by the digest of the key, not null
 * @param limits the limits of requests from callers, not null
 * @param ranked the services whose calls differ in urgency, not null
 */
public record RoutingTable(
        long version,
        Map<String, List<Route>> routes,
        Map<ServiceName, ServiceLimits> services,
        Map<TeamName, TeamAllowance> teams,
        Map<KeyDigest, TeamName> keys,
        CallerLimits limits,
        Set<ServiceName> ranked) {
    /** The empty table that is in force until the first one is read. */
    public static final RoutingTable EMPTY =
            new RoutingTable(-1, Map.of(), Map.of(), Map.of(), Map.of(), CallerLimits.DEFAULT);

    /** Copies the maps and validates the limits. */
    public RoutingTable {
        routes = Map.copyOf(routes);
        services = Map.copyOf(services);
        teams = Map.copyOf(teams);
        keys = Map.copyOf(keys);
        Validate.notNull(limits, "limits");
        ranked = Set.copyOf(ranked);
    }

    /**
     * Creates a table and finds the services whose calls differ in urgency.
     *
     * @param version the version number; a newer table has a higher one
     * @param routes the routes by host in lower case, longest path prefix first, not null
     * @param services the services by name, not null
     * @param teams the teams by name, not null
     * @param keys the team of each key, by the digest of the key, not null
     * @param limits the limits of requests from callers, not null
     */
    public RoutingTable(
            final long version,
            final Map<String, List<Route>> routes,
            final Map<ServiceName, ServiceLimits> services,
            final Map<TeamName, TeamAllowance> teams,
            final Map<KeyDigest, TeamName> keys,
            final CallerLimits limits) {
        this(version, routes, services, teams, keys, limits, findRanked(routes, teams));
    }

    private static Set<ServiceName> findRanked(
            final Map<String, List<Route>> routes, final Map<TeamName, TeamAllowance> teams) {
        final Set<Urgency> teamUrgencies =
                teams.values().stream().flatMap(team -> team.urgency().stream()).collect(Collectors.toSet());
        final boolean routesCount =
                teams.values().stream().anyMatch(team -> team.urgency().isEmpty());
        final Map<ServiceName, Set<Urgency>> urgencies = new HashMap<>();
        for (final List<Route> ofHost : routes.values()) {
            for (final Route route : ofHost) {
                for (final RouteTarget target : route.targets()) {
                    final Set<Urgency> known = urgencies.computeIfAbsent(target.service(), name -> new HashSet<>());
                    if (routesCount || route.open()) {
                        known.add(route.urgency());
                    }
                    if (!route.open()) {
                        known.addAll(teamUrgencies);
                    }
                }
            }
        }
        return urgencies.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 1)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Groups routes by host, longest path prefix first.
     *
     * @param routes the routes, not null
     * @return the routes by host in lower case, never null
     */
    public static Map<String, List<Route>> byHost(final List<Route> routes) {
        return routes.stream()
                .sorted(Comparator.comparingInt(
                        (Route route) -> -route.pathPrefix().length()))
                .collect(Collectors.groupingBy(route -> route.host().toLowerCase(Locale.ROOT)));
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host name in the request, in upper or lower case, not null
     * @param path the path of the request without the query, not null
     * @return the route with the longest path prefix that matches, empty if no route matches
     */
    public Optional<Route> route(final String host, final String path) {
        for (final Route route : routes.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether a table has been read.
     *
     * @return true if this is not the empty table
     */
    public boolean isPresent() {
        return version >= 0;
    }
}
