package org.lacewingstep.scenario;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their virtual time. */
final class VirtualTime {
    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparing(Action::at).thenComparing(Action::number));

    private long count;
    private Instant now = START;

    void after(final Duration delay, final Runnable action) {
        at(now.plus(delay), action);
    }

    void at(final Instant time, final Runnable action) {
        actions.add(new Action(time.isBefore(now) ? now : time, count++, action));
    }

    Instant now() {
        return now;
    }

    void pass(final Duration duration) {
        final Instant end = now.plus(duration);
        while (!actions.isEmpty() && !actions.peek().at().isAfter(end)) {
            final Action next = actions.poll();
            now = next.at();
            next.run().run();
        }
        now = end;
    }

    private record Action(Instant at, long number, Runnable run) {}
}
