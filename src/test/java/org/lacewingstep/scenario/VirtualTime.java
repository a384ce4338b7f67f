package org.lacewingstep.scenario;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs scheduled actions in the order of their virtual time; actions of equal time run in the order of scheduling. */
final class VirtualTime {
    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparing(Action::time).thenComparing(Action::number));

    private long nextNumber;
    private Instant now = START;

    void after(final Duration delay, final Runnable action) {
        at(now.plus(delay), action);
    }

    void at(final Instant time, final Runnable action) {
        actions.add(new Action(time.isBefore(now) ? now : time, nextNumber++, action));
    }

    Instant now() {
        return now;
    }

    void advance(final Duration duration) {
        final Instant end = now.plus(duration);
        while (!actions.isEmpty() && !actions.peek().time().isAfter(end)) {
            final Action next = actions.poll();
            now = next.time();
            next.task().run();
        }
        now = end;
    }

    private record Action(Instant time, long number, Runnable task) {}
}
