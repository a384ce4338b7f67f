package org.lacewingstep.controller;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;

import org.junit.jupiter.api.Test;
import org.lacewingstep.controller.CompetingCalls.PlayedCall;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what callers get by kind, team and size while more calls arrive than the memory of the engines can hold. */
class ScarceRoomTest {
    private static final double[] USUAL = {6.3, 10.1, 13.8};
    private static final double[] BURST = {11.3, 18.2, 62};
    private static final Predicate<PlayedCall> ANY = call -> true;
    private static final Predicate<PlayedCall> SERVED = call -> call.sent.isPresent();

    @Test
    void burstOfTheLeastUrgentKindLeavesRoomForTheOthers() {
        final CompetingCalls site = new CompetingCalls(6, new Random(5));
        site.play(Duration.ofSeconds(4), USUAL, 1);

        final List<PlayedCall> calls = site.play(Duration.ofSeconds(6), BURST, 1);
        site.play(Duration.ofSeconds(6), USUAL, 1);
        assertThat(onTime(calls, 0)).isGreaterThan(0.9);
        assertThat(onTime(calls, 1)).isGreaterThan(0.9);
        assertNothingStarves(calls);
    }

    @Test
    void pressingTeamLeavesTheOthersTheirShare() {
        final CompetingCalls site = new CompetingCalls(6, new Random(6));
        site.play(Duration.ofSeconds(4), USUAL, 1);

        final List<PlayedCall> calls = site.play(Duration.ofSeconds(6), BURST, 7);
        site.play(Duration.ofSeconds(6), USUAL, 1);
        assertThat(CompetingCalls.share(calls, call -> call.team > 0, SERVED))
                .isGreaterThan(CompetingCalls.share(calls, call -> call.team == 0, SERVED));
        assertNothingStarves(calls);
    }

    @Test
    void callersAreServedWhenReportsStopDuringABurst() {
        final CompetingCalls site = new CompetingCalls(6, new Random(7));
        site.play(Duration.ofSeconds(4), USUAL, 1);
        site.play(Duration.ofSeconds(1), BURST, 1);
        site.stopReports();

        final List<PlayedCall> calls = site.play(Duration.ofSeconds(5), BURST, 1);
        final List<PlayedCall> after = site.play(Duration.ofSeconds(6), USUAL, 1);
        site.play(Duration.ofSeconds(6), USUAL, 1);
        assertNothingStarves(calls);
        assertThat(CompetingCalls.share(after, ANY, PlayedCall::onTime)).isGreaterThan(0.9);
    }

    @Test
    void noRoomIsKeptForTheQueueOfAnInstanceThatDied() {
        final CompetingCalls site = new CompetingCalls(6, new Random(8));
        site.play(Duration.ofSeconds(4), USUAL, 1);
        site.play(Duration.ofSeconds(3), BURST, 1);
        final int dead = site.longestQueue();
        site.kill(dead);
        site.play(Duration.ofSeconds(4), USUAL, 1);

        final List<PlayedCall> calls = site.play(Duration.ofSeconds(6), USUAL, 1);
        site.play(Duration.ofSeconds(6), USUAL, 1);

        final Predicate<PlayedCall> reached = call -> call.site != dead;
        assertThat(CompetingCalls.share(calls, reached, PlayedCall::onTime)).isGreaterThan(0.9);
    }

    @Test
    void jumpingClockNeitherBlocksNorOpensTheQueue() {
        final CompetingCalls site = new CompetingCalls(6, new Random(9));
        site.play(Duration.ofSeconds(4), USUAL, 1);
        site.play(Duration.ofSeconds(2), BURST, 1);
        site.jumpClock(0, Duration.ofHours(1));
        site.jumpClock(1, Duration.ofHours(-1));

        final List<PlayedCall> calls = site.play(Duration.ofSeconds(4), BURST, 1);
        site.play(Duration.ofSeconds(6), USUAL, 1);
        assertNothingStarves(calls);
        assertThat(onTime(calls, 0)).isGreaterThan(onTime(calls, 2));
    }

    private static void assertNothingStarves(final List<PlayedCall> calls) {
        final double all = CompetingCalls.share(calls, ANY, SERVED);
        for (int i = 0; i < CompetingCalls.TARGETS.size(); i++) {
            final int urgency = i;
            final Predicate<PlayedCall> kind = call -> call.urgency == urgency;
            final double ofKind = CompetingCalls.share(calls, kind, SERVED);
            assertThat(ofKind).isGreaterThan(all / 4);
            final List<PlayedCall> bySize = calls.stream()
                    .filter(kind)
                    .sorted(Comparator.comparingLong((PlayedCall call) -> -call.tokens))
                    .toList();
            assertThat(CompetingCalls.share(bySize.subList(0, Math.max(1, bySize.size() / 10)), ANY, SERVED))
                    .isGreaterThan(ofKind / 2);
        }
        for (int i = 0; i < CompetingCalls.TEAMS; i++) {
            final int team = i;
            assertThat(CompetingCalls.share(calls, call -> call.team == team, SERVED))
                    .isGreaterThan(all / 4);
        }
    }

    private static double onTime(final List<PlayedCall> calls, final int urgency) {
        return CompetingCalls.share(calls, call -> call.urgency == urgency, PlayedCall::onTime);
    }
}
