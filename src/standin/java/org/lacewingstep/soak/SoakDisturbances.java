package org.lacewingstep.soak;

import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Records when instances, upstreams and the store were under a fault, in milliseconds of {@link SoakClock}. */
final class SoakDisturbances {
    static final String STORE = "store";
    static final String STORE_CONNECTIONS = "connections to the store";

    private final Map<String, Queue<Interval>> closedIntervals = new ConcurrentHashMap<>();
    private final Map<String, Long> openSince = new ConcurrentHashMap<>();

    /** A closed interval of time. */
    private record Interval(long from, long to) {}

    static String instance(final int index) {
        return "front-" + index;
    }

    /** Returns the name under which the planned stops of an instance are recorded. */
    static String plannedStop(final int index) {
        return "planned stop of front-" + index;
    }

    /** Returns the name under which the faults of an upstream are recorded. */
    static String upstream(final int index) {
        return "upstream-" + index;
    }

    /** Returns the name under which the crashes of an upstream are recorded. */
    static String crash(final int index) {
        return "crash of upstream-" + index;
    }

    /** Returns the name under which the faults of the connections to an upstream are recorded. */
    static String connections(final int index) {
        return "connections to upstream-" + index;
    }

    /** Returns whether an upstream or the connections to it were under a fault at any moment between two times. */
    boolean overlapUpstream(final int index, final long from, final long to) {
        return overlap(upstream(index), from, to)
                || overlap(crash(index), from, to)
                || overlap(connections(index), from, to);
    }

    /** Records the start of a fault; has no effect if a fault of the same name is open. */
    void begin(final String name, final long now) {
        openSince.putIfAbsent(name, now);
    }

    /** Records the end of the open fault of a name. */
    void end(final String name, final long now) {
        final Long since = openSince.get(name);
        if (since != null) {
            add(name, new Interval(since, now));
            openSince.remove(name);
        }
    }

    /** Records a fault without duration. */
    void strike(final String name, final long now) {
        add(name, new Interval(now, now));
    }

    /** Returns whether a fault of the name was open at any moment between two times. */
    boolean overlap(final String name, final long from, final long to) {
        final Long since = openSince.get(name);
        return since != null && since <= to
                || closedIntervals.getOrDefault(name, new ConcurrentLinkedQueue<>()).stream()
                        .anyMatch(interval -> interval.from() <= to && interval.to() >= from);
    }

    private void add(final String name, final Interval interval) {
        closedIntervals
                .computeIfAbsent(name, unused -> new ConcurrentLinkedQueue<>())
                .add(interval);
    }
}
