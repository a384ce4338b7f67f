package org.lacewingstep.controller;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallInstruction.Reserve;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.AllowanceBucket;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamUse;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that memory is reserved at a decode upstream before a prefill upstream processes the prompt. */
class ReservationTest {
    private final SiteFixture site = SiteFixture.reserving();

    @Test
    void promptIsProcessedOnlyAfterMemoryIsReserved() {
        final RequestIdentifier request = site.call("/stream/x");

        assertThat(site.lastInstruction(request)).isInstanceOf(Reserve.class);
        endReservation(request, new CallResult.Served());

        final Send send = site.lastSend(request);
        assertThat(send.prefill()).isPresent();
        assertThat(send.upstream()).isEqualTo(lastReserve(request).upstream());
        assertThat(send.attempt()).isEqualTo(1);
    }

    @Test
    void upstreamWithoutCapacityDoesNotCountAsAnAttempt() {
        final RequestIdentifier request = site.call("/once/x");
        final UpstreamName full = lastReserve(request).upstream().name();

        endReservation(request, new CallResult.NotRun(true));
        fireQueueTimer();
        assertThat(lastReserve(request).upstream().name()).isNotEqualTo(full);
        endReservation(request, new CallResult.Served());

        assertThat(site.lastSend(request).attempt()).isEqualTo(1);
    }

    @Test
    void plainCallReservesNothing() {
        assertThat(site.lastInstruction(site.call("/post/x"))).isInstanceOf(Send.class);
    }

    @Test
    void teamIsChargedOnceFromAdmissionOn() {
        final RequestIdentifier request = site.call("/stream/x");
        endReservation(request, new CallResult.NotRun(true));
        assertThat(spentUnits()).isEqualTo(100);

        fireQueueTimer();
        endReservation(request, new CallResult.Served());

        assertThat(spentUnits()).isEqualTo(100);
    }

    @Test
    void teamIsNotChargedForACallThatEndsUnsent() {
        final RequestIdentifier request = site.call("/stream/x");
        endReservation(request, new CallResult.NotRun(true));
        site.step(new Event.CallAbandoned(request));

        assertThat(spentUnits()).isZero();
    }

    @Test
    void reservationIsReleasedHoweverACallEnds() {
        final RequestIdentifier abandoned = site.call("/stream/x");
        final RequestIdentifier late = site.call("/stream/x");
        final RequestIdentifier unanswered = site.call("/stream/x");

        site.step(new Event.CallAbandoned(abandoned));
        site.step(new Event.TimerFired(new TimerKey.CallDeadline(late)));
        endReservation(unanswered, new CallResult.Broken(true, false));
        assertThat(site.instructions(unanswered)).hasSize(2).allMatch(Reserve.class::isInstance);
        site.step(new Event.CallAbandoned(unanswered));

        assertThat(site.lastInstruction(late)).isInstanceOf(CallInstruction.Refuse.class);
        assertThat(site.board().serving().loads().loads().values())
                .allSatisfy(load -> assertThat(load.running()).isEqualTo(UpstreamUse.NONE));
    }

    @Test
    void callIsNotSentIfTheConfirmationExpiresDuringTheReservation() {
        final RequestIdentifier request = site.call("/stream/x");

        site.advanceClock(Duration.ofSeconds(6));
        endReservation(request, new CallResult.Served());

        assertThat(site.instructions(request).stream().filter(Send.class::isInstance))
                .isEmpty();
    }

    private double spentUnits() {
        final AllowanceBucket bucket =
                site.board().serving().allowances().teams().get(SiteFixture.TEAM);
        return bucket.capacity() - bucket.level();
    }

    private Reserve lastReserve(final RequestIdentifier request) {
        return site.instructions(request).stream()
                .filter(Reserve.class::isInstance)
                .map(Reserve.class::cast)
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private void endReservation(final RequestIdentifier request, final CallResult result) {
        site.step(new Event.ReservationCompleted(
                request, lastReserve(request).upstream().name(), result));
    }

    private void fireQueueTimer() {
        site.step(new Event.TimerFired(new TimerKey.CallQueue(SiteFixture.ENGINES)));
    }
}
