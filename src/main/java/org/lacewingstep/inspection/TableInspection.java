package org.lacewingstep.inspection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.lacewingstep.domain.Route;
import org.lacewingstep.domain.RouteKind;
import org.lacewingstep.domain.RouteTarget;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.ServiceLimits;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.TeamAllowance;
import org.lacewingstep.domain.TeamName;

/** Finds entries of a routing table that no request can use and limits that contradict each other. */
public final class TableInspection {
    private TableInspection() {}

    /**
     * Inspects a routing table.
     *
     * @param table the table, not null
     * @return the findings in the order of services, routes, teams and limits, by name, never null
     */
    public static List<Finding> inspect(final RoutingTable table) {
        final List<Finding> findings = new ArrayList<>();
        final List<Route> routes = routes(table);
        inspectServices(table, routes, findings);
        inspectRoutes(table, routes, findings);
        inspectTeams(table, routes, findings);
        if (table.limits().headerLimit().compareTo(table.limits().idleLimit()) > 0) {
            findings.add(new Finding.Contradiction(
                    "limits", "a request head may take longer than a connection may stay idle"));
        }
        return List.copyOf(findings);
    }

    /**
     * Lists the routes of a table.
     *
     * @param table the table, not null
     * @return the routes by name; routes of equal name keep the order in which they match, never null
     */
    static List<Route> routes(final RoutingTable table) {
        return table.routes().values().stream()
                .flatMap(Collection::stream)
                .sorted(Comparator.comparing(Route::name))
                .toList();
    }

    private static void inspectServices(
            final RoutingTable table, final List<Route> routes, final List<Finding> findings) {
        final Set<ServiceName> used = routes.stream()
                .flatMap(route -> route.targets().stream())
                .map(RouteTarget::service)
                .collect(Collectors.toSet());
        table.services().values().stream()
                .sorted(Comparator.comparing(service -> service.name().value()))
                .forEach(service -> inspectService(service, used.contains(service.name()), findings));
    }

    private static void inspectService(final ServiceLimits service, final boolean used, final List<Finding> findings) {
        final String place = "service " + service.name().value();
        if (!used) {
            findings.add(new Finding.Unreachable(place, "no route sends requests to it"));
        }
        if (service.coldRequestsPerSecond() > 0 && service.coldRequestsPerSecond() < 1) {
            findings.add(new Finding.Contradiction(
                    place, "a cold upstream bears less than one request a second, so a start may last for ever"));
        }
        if (!service.reservationLimit().isZero() && service.memoryTokens() == 0) {
            findings.add(new Finding.Contradiction(place, "reserves memory but declares none"));
        }
    }

    private static void inspectRoutes(
            final RoutingTable table, final List<Route> routes, final List<Finding> findings) {
        final Set<String> names = new HashSet<>();
        for (final Route route : routes) {
            final String place = "route " + route.name();
            if (!names.add(route.name())) {
                findings.add(new Finding.Contradiction(place, "the name is used by more than one route"));
            }
            final Route first = table.route(route.host(), route.pathPrefix()).orElse(route);
            if (first != route) {
                findings.add(new Finding.Unreachable(
                        place,
                        "route " + first.name() + " comes first with the same host and prefix " + route.pathPrefix()));
            }
            inspectTargets(table, route, place, findings);
            inspectTimes(route, place, findings);
        }
    }

    private static void inspectTargets(
            final RoutingTable table, final Route route, final String place, final List<Finding> findings) {
        final boolean weightless = route.targets().stream().noneMatch(target -> target.weight() > 0);
        if (weightless) {
            findings.add(new Finding.Contradiction(place, "the weights of all targets are zero"));
        }
        for (final RouteTarget target : route.targets()) {
            if (target.weight() == 0 && !weightless) {
                findings.add(new Finding.Unreachable(
                        place, "the target " + target.service().value() + " has the weight zero"));
            }
            if (!table.services().containsKey(target.service())) {
                findings.add(new Finding.Contradiction(
                        place, "the service " + target.service().value() + " is not declared"));
            }
        }
    }

    private static void inspectTimes(final Route route, final String place, final List<Finding> findings) {
        if (route.latencyTarget().compareTo(route.timeLimit()) > 0) {
            findings.add(new Finding.Contradiction(
                    place,
                    "the latency target of " + route.latencyTarget().toMillis() + " ms exceeds the time limit of "
                            + route.timeLimit().toMillis() + " ms"));
        }
        if (route.kind() instanceof RouteKind.EventStream(boolean resumable, var pause)) {
            if (pause.compareTo(route.timeLimit()) > 0) {
                findings.add(new Finding.Contradiction(place, "the longest pause exceeds the time limit"));
            }
            if (resumable && route.attemptLimit() == 1) {
                findings.add(new Finding.Contradiction(place, "may be resumed but allows one attempt only"));
            }
        }
    }

    private static void inspectTeams(final RoutingTable table, final List<Route> routes, final List<Finding> findings) {
        final Set<TeamName> withKeys = new HashSet<>(table.keys().values());
        table.teams().values().stream()
                .sorted(Comparator.comparing(team -> team.team().value()))
                .forEach(team -> {
                    final String place = "team " + team.team().value();
                    if (!withKeys.contains(team.team())) {
                        findings.add(new Finding.Unreachable(place, "no key belongs to it"));
                    }
                    inspectRate(team, place, findings);
                    inspectRegions(team, place, routes, findings);
                });
    }

    private static void inspectRate(final TeamAllowance team, final String place, final List<Finding> findings) {
        final long smallest = team.countsTokens() ? team.plainUnits() : 1;
        if (team.isLimited() && team.burst() < smallest) {
            findings.add(new Finding.Contradiction(
                    place, "the burst of " + Math.round(team.burst()) + " is less than one request of " + smallest));
        }
        if (team.burst() > 0 && team.unitsPerSecond() == 0) {
            findings.add(new Finding.Contradiction(place, "has a burst but no rate, so the burst is spent once"));
        }
    }

    private static void inspectRegions(
            final TeamAllowance team, final String place, final List<Route> routes, final List<Finding> findings) {
        if (team.allowedRegions().isEmpty()) {
            return;
        }
        routes.stream()
                .filter(route -> !route.open()
                        && !route.allowedRegions().isEmpty()
                        && Collections.disjoint(route.allowedRegions(), team.allowedRegions()))
                .forEach(route -> findings.add(new Finding.Contradiction(
                        place, "shares no region with route " + route.name() + ", which it can't use")));
    }
}
