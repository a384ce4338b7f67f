package org.lacewingstep.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.Urgency;
import org.lacewingstep.placement.QueueOrder.QueuedCall;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests to which call a free place goes first. */
class QueueOrderTest {
    private static final Instant NOW = Instant.ofEpochSecond(5);
    private static final Optional<TeamName> TEAM = Optional.of(new TeamName("t"));
    private static final Optional<TeamName> PRESSING = Optional.of(new TeamName("pressing"));

    @Test
    void callsThatCanBeOnTimeGoBeforeLateOnesAndOlderBeforeNewer() {
        assertThat(order(List.of(
                        call("late-2", 2, false, 1, TEAM),
                        call("on-time-4", 4, true, 1, TEAM),
                        call("late-1", 1, false, 1, TEAM),
                        call("on-time-3", 3, true, 1, TEAM))))
                .containsExactly("on-time-3", "on-time-4", "late-1", "late-2");
    }

    @Test
    void lateCallOfAnyUrgencyWaitsForCallsThatCanBeOnTime() {
        assertThat(order(List.of(
                        call("bulk", 1, true, 2, TEAM),
                        call("urgent-late", -20, false, 0, TEAM),
                        call("bulk-late", 2, false, 2, TEAM),
                        call("urgent", 3, true, 0, TEAM))))
                .containsExactly("urgent", "bulk", "urgent-late", "bulk-late");
    }

    @Test
    void callGainsRanksWhileItWaits() {
        assertThat(order(List.of(call("new-urgent", 4, false, 0, TEAM), call("old-bulk", -26, false, 2, TEAM))))
                .containsExactly("old-bulk", "new-urgent");
    }

    @Test
    void pressingTeamWaitsForItsOwnCallsAndNotOthersForThem() {
        assertThat(order(List.of(
                        call("pressing-1", 1, true, 1, PRESSING),
                        call("pressing-2", 2, true, 1, PRESSING),
                        call("pressing-3", 3, true, 1, PRESSING),
                        call("other", 4, true, 1, TEAM))))
                .containsExactly("pressing-1", "other", "pressing-2", "pressing-3");
        assertThat(QueueOrder.order(
                        List.of(call("pressing-1", 1, true, 1, PRESSING), call("other", 4, true, 1, TEAM)),
                        Map.of(PRESSING, 7),
                        NOW))
                .extracting(RequestIdentifier::value)
                .containsExactly("other", "pressing-1");
    }

    private static List<String> order(final List<QueuedCall> calls) {
        return QueueOrder.order(calls, Map.of(), NOW).stream()
                .map(RequestIdentifier::value)
                .toList();
    }

    private static QueuedCall call(
            final String name,
            final long second,
            final boolean canBeOnTime,
            final int urgency,
            final Optional<TeamName> team) {
        return new QueuedCall(
                new RequestIdentifier(name),
                Instant.ofEpochSecond(second),
                canBeOnTime,
                new Urgency(urgency),
                Duration.ofSeconds(10),
                team);
    }
}
