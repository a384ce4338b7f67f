package org.lacewingstep.domain;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
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
 * @param ranked the different precedences of calls to each service, the most urgent first; a service is absent if its
 *     calls do not differ, not null
 */
public record RoutingTable(
        long version,
        Map<String, List<Route>> routes,
        Map<ServiceName, ServiceLimits> services,
        Map<TeamName, TeamAllowance> teams,
        Map<KeyDigest, TeamName> keys,
        CallerLimits limits,
        Map<ServiceName, List<Precedence>> ranked) {
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
        ranked = Map.copyOf(ranked);
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

    private static Map<ServiceName, List<Precedence>> findRanked(
            final Map<String, List<Route>> routes, final Map<TeamName, TeamAllowance> teams) {
        final Set<Integer> teamPriorities =
                teams.values().stream().map(TeamAllowance::priority).collect(Collectors.toSet());
        final Map<ServiceName, SortedSet<Precedence>> found = new HashMap<>();
        for (final List<Route> ofHost : routes.values()) {
            for (final Route route : ofHost) {
                final Set<Integer> callers = route.open() ? Set.of(Precedence.DEFAULT_PRIORITY) : teamPriorities;
                for (final RouteTarget target : route.targets()) {
                    final Set<Precedence> known = found.computeIfAbsent(target.service(), name -> new TreeSet<>());
                    callers.forEach(team -> known.add(new Precedence(team, route.priority())));
                }
            }
        }
        return found.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 1)
                .collect(Collectors.toMap(Map.Entry::getKey, entry -> List.copyOf(entry.getValue())));
    }

    /**
     * Returns whether the calls of a service differ in urgency.
     *
     * @param service the service, not null
     * @return true if some calls precede others
     */
    public boolean isRanked(final ServiceName service) {
        return ranked.containsKey(service);
    }

    /**
     * Returns whether the routes of a service differ in priority, whatever the priorities of the teams.
     *
     * @param service the service, not null
     * @return true if calls on some routes precede calls of the same team on others
     */
    public boolean hasRankedRoutes(final ServiceName service) {
        final List<Precedence> levels = ranked.getOrDefault(service, List.of());
        return levels.stream()
                .anyMatch(level -> level.route() != levels.getFirst().route());
    }

    /**
     * Finds the urgency of a call: the position of its precedence among those of the service.
     *
     * @param service the service that the call is sent to, not null
     * @param route the route of the call, not null
     * @param team the caller's team, empty on an open route
     * @return the urgency, {@link Urgency#DEFAULT} if the calls of the service do not differ, never null
     */
    public Urgency urgency(final ServiceName service, final Route route, final Optional<TeamName> team) {
        final List<Precedence> levels = ranked.getOrDefault(service, List.of());
        if (levels.isEmpty()) {
            return Urgency.DEFAULT;
        }
        final int teamPriority =
                team.map(teams::get).map(TeamAllowance::priority).orElse(Precedence.DEFAULT_PRIORITY);
        final int found = Collections.binarySearch(levels, new Precedence(teamPriority, route.priority()));
        final int position = found < 0 ? -found - 1 : found;
        final int last = Math.max(Urgency.LAST_RANK, levels.size() - 1);
        return Urgency.nearest((long) position * Urgency.LAST_RANK / last);
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
