package org.lacewingstep.control;

import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.TimerKey;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests {@link TimerQueue}. */
class TimerQueueTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final TimerQueue timers = new TimerQueue();

    @Test
    void firesTimersInOrderOfDueTime() {
        timers.start(new TimerKey.Heartbeat(), START.plusSeconds(2));
        timers.start(new TimerKey.CellCheck(), START.plusSeconds(1));
        assertThat(timers.nextDueTime()).contains(START.plusSeconds(1));
        assertThat(timers.pollDue(START.plusSeconds(3))).isEqualTo(new Event.TimerFired(new TimerKey.CellCheck()));
        assertThat(timers.pollDue(START.plusSeconds(3))).isEqualTo(new Event.TimerFired(new TimerKey.Heartbeat()));
        assertThat(timers.pollDue(START.plusSeconds(3))).isNull();
    }

    @Test
    void replacesTimerWithSameKey() {
        timers.start(new TimerKey.Heartbeat(), START.plusSeconds(1));
        timers.start(new TimerKey.Heartbeat(), START.plusSeconds(5));
        assertThat(timers.pollDue(START.plusSeconds(2))).isNull();
        assertThat(timers.pollDue(START.plusSeconds(5))).isNotNull();
        assertThat(timers.pollDue(START.plusSeconds(9))).isNull();
    }
}
