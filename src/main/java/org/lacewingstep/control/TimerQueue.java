package org.lacewingstep.control;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.TimerKey;

/** A queue of timers in the order of their due times. Starting a timer replaces a running timer with the same key. */
public final class TimerQueue {
    private final Map<TimerKey, Instant> dueByKey = new HashMap<>();
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparing(Entry::due).thenComparing(Entry::sequenceNumber));

    private long startedTimers;

    /**
     * Returns the due time of the earliest running timer.
     *
     * @return the due time, empty if no timer is running
     */
    public Optional<Instant> nextDueTime() {
        removeReplaced();
        return Optional.ofNullable(entries.peek()).map(Entry::due);
    }

    /**
     * Removes the earliest timer if it is due.
     *
     * @param now the current time, not null
     * @return the event that reports the expired timer, null if no timer is due
     */
    public Event pollDue(final Instant now) {
        removeReplaced();
        final Entry earliest = entries.peek();
        if (earliest == null || earliest.due().isAfter(now)) {
            return null;
        }
        entries.poll();
        dueByKey.remove(earliest.key());
        return new Event.TimerFired(earliest.key());
    }

    /**
     * Starts a timer or, if a timer with the same key is running, replaces it.
     *
     * @param key the key that identifies the timer, not null
     * @param due the time at which the timer expires, not null
     */
    public void start(final TimerKey key, final Instant due) {
        dueByKey.put(key, due);
        entries.add(new Entry(key, due, startedTimers++));
    }

    private void removeReplaced() {
        while (!entries.isEmpty()
                && !entries.peek().due().equals(dueByKey.get(entries.peek().key()))) {
            entries.poll();
        }
    }

    private record Entry(TimerKey key, Instant due, long sequenceNumber) {}
}
