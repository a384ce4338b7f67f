package org.lacewingstep.placement;

import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.placement.QueueOrder.QueuedCall;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that a free place goes first to the call that can still be on time and has waited longest. */
class QueueOrderTest {
    @Test
    void callsThatCanBeOnTimeGoBeforeLateOnesAndOlderBeforeNewer() {
        assertThat(QueueOrder.order(List.of(
                        call("late-2", 2, false),
                        call("on-time-4", 4, true),
                        call("late-1", 1, false),
                        call("on-time-3", 3, true))))
                .extracting(RequestIdentifier::value)
                .containsExactly("on-time-3", "on-time-4", "late-1", "late-2");
    }

    private static QueuedCall call(final String name, final long second, final boolean canBeOnTime) {
        return new QueuedCall(new RequestIdentifier(name), Instant.ofEpochSecond(second), canBeOnTime);
    }
}
