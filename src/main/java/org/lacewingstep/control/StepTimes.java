package org.lacewingstep.control;

import java.util.HashMap;
import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.TimerKey;

/**
 * Counts control steps and adds up their time by the kind of event. The time of a step includes the events that result
 * from its event; it is read from the monotonic clock, as a reading of the thread's processor time is a system call.
 */
final class StepTimes {
    private final MetricRegistry metrics;
    private final Map<Class<?>, Counters> counters = new HashMap<>();

    /**
     * Creates an instance without counters.
     *
     * @param metrics the registry to which the counters of a kind are added with its first step, not null
     */
    StepTimes(final MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /**
     * Counts a step; called by the control thread alone.
     *
     * @param event the event of the step, not null
     * @param nanoseconds the time of the step
     */
    void add(final Event event, final long nanoseconds) {
        final Counters counted = counters.computeIfAbsent(kind(event), this::register);
        counted.steps().inc();
        counted.nanoseconds().inc(nanoseconds);
    }

    private Counters register(final Class<?> kind) {
        return new Counters(
                metrics.counter("control.steps." + kind.getSimpleName()),
                metrics.counter("control.step_ns." + kind.getSimpleName()));
    }

    private static Class<?> kind(final Event event) {
        return switch (event) {
            case Event.TimerFired(TimerKey key) -> key.getClass();
            case Event.PeerMessageReceived(var sender, PeerMessage message) -> message.getClass();
            default -> event.getClass();
        };
    }

    private record Counters(Counter steps, Counter nanoseconds) {}
}
