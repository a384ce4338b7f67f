package org.lacewingstep.control;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.TimerKey;

/** Timers by key, earliest first; a timer replaces one with the same key. */
public final class TimerQueue {
    private final Map<TimerKey, Instant> dueByKey = new HashMap<>();
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparing(Entry::due).thenComparing(Entry::number));

    private long started;

    /**
     * Finds when the next timer runs out.
     *
     * @return the time, empty if no timer runs
     */
    public Optional<Instant> nextDue() {
        dropReplaced();
        return Optional.ofNullable(entries.peek()).map(Entry::due);
    }

    /**
     * Takes out the next timer that has run out.
     *
     * @param now the present time, not null
     * @return the event, null if no timer has run out
     */
    public Event pollDue(final Instant now) {
        dropReplaced();
        final Entry first = entries.peek();
        if (first == null || first.due().isAfter(now)) {
            return null;
        }
        entries.poll();
        dueByKey.remove(first.key());
        return new Event.TimerFired(first.key());
    }

    /**
     * Starts a timer.
     *
     * @param key what it is for, not null
     * @param due when it runs out, not null
     */
    public void start(final TimerKey key, final Instant due) {
        dueByKey.put(key, due);
        entries.add(new Entry(key, due, started++));
    }

    private void dropReplaced() {
        while (!entries.isEmpty()
                && !entries.peek().due().equals(dueByKey.get(entries.peek().key()))) {
            entries.poll();
        }
    }

    private record Entry(TimerKey key, Instant due, long number) {}
}
