package org.lacewingstep.controller;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.AllowanceChange;
import org.lacewingstep.blackboard.CallInstruction.Fail;
import org.lacewingstep.blackboard.CallInstruction.Reserve;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamUse;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that an attempt at a silent upstream continues until the call can be sent elsewhere. */
class StalledAttemptTest {
    private final SiteFixture site = SiteFixture.reserving();

    @Test
    void silentAttemptContinuesWhileNoOtherUpstreamReservesMemory() {
        final RequestIdentifier request = startStream();
        stall(request);
        final Reserve reserve = (Reserve) site.lastInstruction(request);

        endReservation(request, reserve, new CallResult.NotRun(true));
        site.step(new Event.CallAttemptEnded(request, 1, new CallResult.Served()));

        assertThat(site.lastInstruction(request)).isEqualTo(reserve);
        assertThat(site.board().serving().calls().calls()).isEmpty();
        assertNothingOccupied();
    }

    @Test
    void silentAttemptIsReplacedOnceAnotherUpstreamHasReservedMemory() {
        final RequestIdentifier request = startStream();
        final Send first = site.lastSend(request);
        stall(request);

        endReservation(request, (Reserve) site.lastInstruction(request), new CallResult.Served());

        final Send second = site.lastSend(request);
        assertThat(second.attempt()).isEqualTo(2);
        assertThat(second.upstream()).isNotEqualTo(first.upstream());
        site.step(new Event.CallAttemptEnded(request, 2, new CallResult.Served()));
        assertNothingOccupied();
    }

    @Test
    void silentAttemptWithoutAnotherAttemptIsNotReplaced() {
        final RequestIdentifier request = site.call("/once/x");
        endReservation(request, (Reserve) site.lastInstruction(request), new CallResult.Served());
        final Send only = site.lastSend(request);

        stall(request);

        assertThat(site.lastInstruction(request)).isEqualTo(only);
        assertThat(only.pauseTimeout()).isEqualTo(Duration.ofSeconds(2));
    }

    @Test
    void silentAttemptContinuesWhileTheRetryBudgetIsSpent() {
        for (int i = 0; i < 200; i++) {
            site.step(new Event.AllowanceChanged(new AllowanceChange.RetryReserved(SiteFixture.ENGINES)));
        }
        final RequestIdentifier request = startStream();
        final Send only = site.lastSend(request);

        stall(request);

        assertThat(site.lastInstruction(request)).isEqualTo(only);
    }

    @Test
    void attemptThatBreaksWhileItIsReplacedIsRetried() {
        final RequestIdentifier request = startStream();
        stall(request);

        site.step(new Event.CallAttemptEnded(request, 1, new CallResult.Broken(false, true)));
        endReservation(request, (Reserve) site.lastInstruction(request), new CallResult.Served());

        assertThat(site.lastSend(request).attempt()).isEqualTo(2);
        site.step(new Event.CallAttemptEnded(request, 2, new CallResult.Served()));
        assertNothingOccupied();
    }

    @Test
    void callAtItsDeadlineIsFailedWhileAnAttemptIsReplaced() {
        final RequestIdentifier request = startStream();
        stall(request);

        site.step(new Event.TimerFired(new TimerKey.CallDeadline(request)));

        assertThat(site.lastInstruction(request)).isInstanceOf(Fail.class);
        assertNothingOccupied();
    }

    @Test
    void pauseOfASecondIsNoReasonToReplaceAStream() {
        final Duration pause = Duration.ofSeconds(1);

        assertThat(site.lastSend(startStream()).pauseTimeout()).isGreaterThan(pause);
    }

    private RequestIdentifier startStream() {
        final RequestIdentifier request = site.call("/stream/x");
        endReservation(request, (Reserve) site.lastInstruction(request), new CallResult.Served());
        return request;
    }

    private void stall(final RequestIdentifier request) {
        final Send send = site.lastSend(request);
        site.step(new Event.UpstreamStalled(
                send.upstream().name(), Optional.of(new AttemptIdentifier(request, send.attempt()))));
    }

    private void endReservation(final RequestIdentifier request, final Reserve reserve, final CallResult result) {
        site.step(new Event.ReservationCompleted(request, reserve.upstream().name(), result));
    }

    private void assertNothingOccupied() {
        assertThat(site.board().serving().loads().loads().values())
                .allSatisfy(load -> assertThat(load.running()).isEqualTo(UpstreamUse.NONE));
    }
}
