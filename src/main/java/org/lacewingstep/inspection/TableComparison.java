package org.lacewingstep.inspection;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.lacewingstep.domain.CallerLimits;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.Route;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.ServiceLimits;
import org.lacewingstep.domain.TeamAllowance;
import org.lacewingstep.domain.TeamName;

/** Lists by meaning what a routing table changes against the one in force. */
public final class TableComparison {
    private TableComparison() {}

    /**
     * Compares two routing tables.
     *
     * @param present the table in force, not null
     * @param next the table to be sent, not null
     * @return the differences, by kind of entry and name, never null
     */
    public static List<Finding.Difference> compare(final RoutingTable present, final RoutingTable next) {
        final List<Finding.Difference> differences = new ArrayList<>();
        if (next.version() <= present.version()) {
            differences.add(new Finding.Difference(
                    "version",
                    next.version() + " is not newer than " + present.version() + ", so no instance takes it",
                    true));
        }
        compareEntries("route", byName(present), byName(next), TableComparison::compareRoute, differences);
        compareEntries(
                "service",
                index(present.services().values(), service -> service.name().value()),
                index(next.services().values(), service -> service.name().value()),
                TableComparison::compareService,
                differences);
        compareEntries(
                "team",
                index(present.teams().values(), team -> team.team().value()),
                index(next.teams().values(), team -> team.team().value()),
                TableComparison::compareTeam,
                differences);
        compareKeys(present.keys(), next.keys(), differences);
        compareLimits(present.limits(), next.limits(), differences);
        return List.copyOf(differences);
    }

    private static Map<String, Route> byName(final RoutingTable table) {
        return index(TableInspection.routes(table), Route::name);
    }

    private static <T> Map<String, T> index(final Iterable<T> entries, final Function<T, String> name) {
        final Map<String, T> index = new TreeMap<>();
        entries.forEach(entry -> index.putIfAbsent(name.apply(entry), entry));
        return index;
    }

    /** Compares two versions of an entry. */
    @FunctionalInterface
    private interface EntryComparison<T> {
        void compare(T present, T next, Collector differences);
    }

    private static <T> void compareEntries(
            final String kind,
            final Map<String, T> present,
            final Map<String, T> next,
            final EntryComparison<T> comparison,
            final List<Finding.Difference> differences) {
        final Set<String> names = new TreeSet<>(present.keySet());
        names.addAll(next.keySet());
        for (final String name : names) {
            final Collector collector = new Collector(kind + " " + name, differences);
            if (!next.containsKey(name)) {
                collector.add("removed", true);
            } else if (!present.containsKey(name)) {
                collector.add("added", false);
            } else if (!present.get(name).equals(next.get(name))) {
                comparison.compare(present.get(name), next.get(name), collector);
            }
        }
    }

    private static void compareRoute(final Route present, final Route next, final Collector differences) {
        differences.changed("host", present.host(), next.host());
        differences.changed("path prefix", present.pathPrefix(), next.pathPrefix());
        differences.changed("kind", present.kind(), next.kind());
        differences.changed("targets", targets(present), targets(next));
        differences.changed("regions", present.allowedRegions(), next.allowedRegions());
        differences.limit("time limit", present.timeLimit(), next.timeLimit());
        differences.limit("latency target", present.latencyTarget(), next.latencyTarget());
        differences.limit("attempt limit", present.attemptLimit(), next.attemptLimit());
        if (present.open() != next.open()) {
            differences.add(
                    next.open() ? "opened to callers without a key" : "closed to callers without a key", !next.open());
        }
    }

    private static String targets(final Route route) {
        return route.targets().stream()
                .map(target -> target.service().value() + " " + target.weight())
                .collect(Collectors.joining(", "));
    }

    private static void compareService(
            final ServiceLimits present, final ServiceLimits next, final Collector differences) {
        differences.limit("connection limit", present.connectionLimit(), next.connectionLimit());
        differences.limit("memory in tokens", present.memoryTokens(), next.memoryTokens());
        differences.limit("reservation limit", present.reservationLimit(), next.reservationLimit());
        differences.limit("cold requests a second", present.coldRequestsPerSecond(), next.coldRequestsPerSecond());
    }

    private static void compareTeam(
            final TeamAllowance present, final TeamAllowance next, final Collector differences) {
        if (present.isLimited() && !next.isLimited()) {
            differences.add("no longer limited", false);
        } else if (!present.isLimited() && next.isLimited()) {
            differences.add("limited to a rate of " + next.unitsPerSecond() + " and a burst of " + next.burst(), true);
        } else {
            differences.limit("rate", present.unitsPerSecond(), next.unitsPerSecond());
            differences.limit("burst", present.burst(), next.burst());
        }
        differences.changed("unit", unit(present), unit(next));
        differences.changed("regions", present.allowedRegions(), next.allowedRegions());
        if (present.plainUnits() != next.plainUnits()) {
            differences.add(
                    "units of a request without token counts: " + present.plainUnits() + " -> " + next.plainUnits(),
                    next.plainUnits() > present.plainUnits());
        }
    }

    private static String unit(final TeamAllowance team) {
        return team.countsTokens() ? "tokens" : "requests";
    }

    /** Counts withdrawn and added keys by team; a key that moves to another team is withdrawn from the first. */
    private static void compareKeys(
            final Map<KeyDigest, TeamName> present,
            final Map<KeyDigest, TeamName> next,
            final List<Finding.Difference> differences) {
        countKeys(present, next)
                .forEach((team, count) ->
                        differences.add(new Finding.Difference("team " + team, "keys withdrawn: " + count, true)));
        countKeys(next, present)
                .forEach((team, count) ->
                        differences.add(new Finding.Difference("team " + team, "keys added: " + count, false)));
    }

    /** Counts the keys by team that another table does not give to the same team. */
    private static Map<String, Long> countKeys(
            final Map<KeyDigest, TeamName> keys, final Map<KeyDigest, TeamName> others) {
        return keys.entrySet().stream()
                .filter(entry -> !entry.getValue().equals(others.get(entry.getKey())))
                .collect(Collectors.groupingBy(entry -> entry.getValue().value(), TreeMap::new, Collectors.counting()));
    }

    private static void compareLimits(
            final CallerLimits present, final CallerLimits next, final List<Finding.Difference> differences) {
        final Collector collector = new Collector("limits", differences);
        collector.limit("header bytes", present.headerBytes(), next.headerBytes());
        collector.limit("body bytes", present.bodyBytes(), next.bodyBytes());
        collector.limit("header limit", present.headerLimit(), next.headerLimit());
        collector.limit("idle limit", present.idleLimit(), next.idleLimit());
    }

    /** Collects the differences of one entry. */
    private record Collector(String place, List<Finding.Difference> differences) {
        void add(final String message, final boolean restricts) {
            differences.add(new Finding.Difference(place, message, restricts));
        }

        void changed(final String name, final Object present, final Object next) {
            if (!present.equals(next)) {
                add(name + ": " + present + " -> " + next, true);
            }
        }

        void limit(final String name, final Duration present, final Duration next) {
            if (!present.equals(next)) {
                add(
                        name + ": " + present.toMillis() + " ms -> " + next.toMillis() + " ms",
                        next.compareTo(present) < 0);
            }
        }

        void limit(final String name, final double present, final double next) {
            if (present != next) {
                add(name + ": " + present + " -> " + next, next < present);
            }
        }
    }
}
