package org.lacewingstep.domain;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.lacewingstep.error.Validate;

/**
 * One version of the operators' routes, services, teams and limits.
 *
 * @param version the version, higher is newer
 * @param routes the routes by host, longest path prefix first, not null
 * @param services the services by name, not null
 * @param teams the teams by name, not null
 * @param keys the team of each key, not null
 * @param limits what callers may send, not null
 */
public record RoutingTable(
        long version,
        Map<String, List<Route>> routes,
        Map<ServiceName, RoutedService> services,
        Map<TeamName, TeamAllowance> teams,
        Map<KeyDigest, TeamName> keys,
        CallerLimits limits) {
    /** The table before the first one was read. */
    public static final RoutingTable EMPTY =
            new RoutingTable(-1, Map.of(), Map.of(), Map.of(), Map.of(), CallerLimits.DEFAULT);

    /** Copies the maps. */
    public RoutingTable {
        routes = Map.copyOf(routes);
        services = Map.copyOf(services);
        teams = Map.copyOf(teams);
        keys = Map.copyOf(keys);
        Validate.notNull(limits, "limits");
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
     * @param host the host that the caller named, not null
     * @param path the path without query, not null
     * @return the route with the longest prefix of the path, empty if none matches
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
     * Tells whether a table was read.
     *
     * @return true if this is not the empty table
     */
    public boolean isPresent() {
        return version >= 0;
    }
}
