package org.lacewingstep.controller;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallInstruction.Reserve;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.blackboard.UpstreamNotice;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamStart;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that upstreams which leave or ask for a pause receive nothing new, and what callers get meanwhile. */
class UpstreamNoticeTest {
    private static final UpstreamName FIRST = new UpstreamName("ledger-1");
    private static final UpstreamName SECOND = new UpstreamName("ledger-2");
    private static final Duration PAUSE = Duration.ofMillis(1500);

    private final SiteFixture site = SiteFixture.serving();

    @Test
    void leavingUpstreamReceivesNoCalls() {
        announceLeaving(FIRST, 1);

        for (int i = 0; i < 20; i++) {
            assertThat(site.lastSend(site.call("/read/x")).upstream().name()).isEqualTo(SECOND);
        }
    }

    /** A lapsed lease or a doubled entry of the registry does not bring back an upstream that leaves. */
    @Test
    void registryEntriesOfTheSameStartDoNotEndTheLeaving() {
        announceLeaving(FIRST, 1);
        site.changeStore(new StoreChange.UpstreamUnregistered(FIRST));
        site.advanceClock(Duration.ofSeconds(10));
        site.confirmTable();
        register(FIRST, 1);

        assertThat(site.lastSend(site.call("/read/x")).upstream().name()).isEqualTo(SECOND);
    }

    @Test
    void newStartOfTheUpstreamEndsTheLeavingAndThePause() {
        announceLeaving(FIRST, 1);
        announcePause(FIRST, PAUSE);
        announceLeaving(SECOND, 1);
        register(FIRST, 2);

        assertThat(site.lastSend(site.call("/read/x")).upstream().name()).isEqualTo(FIRST);
    }

    /** Between the reservation and its response the engine may say that it leaves. */
    @Test
    void engineThatLeavesAfterItsReservationReceivesNoCall() {
        final SiteFixture reserving = SiteFixture.reserving();
        final RequestIdentifier request = reserving.call("/stream/x");
        final UpstreamName engine =
                ((Reserve) reserving.lastInstruction(request)).upstream().name();
        reserving.step(new Event.UpstreamNoticeReceived(new UpstreamNotice(
                new UpstreamStart(engine, 1), new RequestIdentifier("other"), true, Optional.empty())));

        reserving.step(new Event.ReservationCompleted(request, engine, new CallResult.Served()));
        reserving.advanceClock(Duration.ofMillis(40));
        reserving.step(new Event.TimerFired(new TimerKey.CallQueue(SiteFixture.ENGINES)));

        assertThat(reserving.instructions(request)).noneMatch(Send.class::isInstance);
        assertThat(reserving.lastInstruction(request)).isInstanceOfSatisfying(Reserve.class, reserve -> assertThat(
                        reserve.upstream().name())
                .isNotEqualTo(engine));
    }

    @Test
    void engineThatDrainsAfterItsReservationReceivesNoCall() {
        final SiteFixture reserving = SiteFixture.reserving();
        final RequestIdentifier request = reserving.call("/stream/x");
        final RegisteredUpstream engine = ((Reserve) reserving.lastInstruction(request)).upstream();
        reserving.changeStore(new StoreChange.UpstreamRegistered(SiteFixture.draining(engine)));

        reserving.step(new Event.ReservationCompleted(request, engine.name(), new CallResult.Served()));

        assertThat(reserving.instructions(request)).noneMatch(Send.class::isInstance);
    }

    /** The prompt may be processed for seconds after its decode upstream was chosen, which is checked again then. */
    @Test
    void upstreamThatLeavesAfterItWasChosenAcceptsNoRequests() {
        final RegisteredUpstream chosen = site.lastSend(site.call("/stream/x")).upstream();
        assertThat(UpstreamAvailability.acceptsRequests(site.board(), chosen, site.now()))
                .isTrue();

        site.changeStore(new StoreChange.UpstreamRegistered(SiteFixture.draining(chosen)));
        assertThat(UpstreamAvailability.acceptsRequests(site.board(), chosen, site.now()))
                .isFalse();
        site.changeStore(new StoreChange.UpstreamRegistered(chosen));
        site.changeStore(new StoreChange.UpstreamUnregistered(chosen.name()));
        assertThat(UpstreamAvailability.acceptsRequests(site.board(), chosen, site.now()))
                .isFalse();
    }

    @Test
    void pausedUpstreamReceivesCallsAgainAfterItsTime() {
        announceLeaving(SECOND, 1);
        announcePause(FIRST, PAUSE);
        site.advanceClock(PAUSE.minusMillis(1));
        assertThat(site.instructions(site.call("/read/x"))).isEmpty();
        site.advanceClock(Duration.ofMillis(1));

        assertThat(site.lastSend(site.call("/read/x")).upstream().name()).isEqualTo(FIRST);
    }

    /** Each response of a call that ran before the refusal would otherwise reopen the upstream. */
    @Test
    void neitherASuccessNorAFailureNorAShorterTimeEndsThePause() {
        for (final CallResult result :
                List.of(new CallResult.Served(), new CallResult.FailedByUpstream(500), new CallResult.NotRun(true))) {
            final RequestIdentifier running = site.call("/post/x");
            final UpstreamName upstream = site.lastSend(running).upstream().name();
            announcePause(upstream, PAUSE);
            announcePause(upstream, Duration.ofMillis(10));
            site.endAttempt(running, result);
            site.advanceClock(Duration.ofMillis(500));

            assertThat(site.lastSend(site.call("/read/x")).upstream().name()).isNotEqualTo(upstream);
            site.advanceClock(PAUSE);
            site.confirmTable();
        }
    }

    @Test
    void laterRefusalWithALongerTimeExtendsThePause() {
        announcePause(FIRST, PAUSE);
        announcePause(FIRST, PAUSE.multipliedBy(2));
        site.advanceClock(PAUSE.plusMillis(1));

        assertThat(site.lastSend(site.call("/read/x")).upstream().name()).isEqualTo(SECOND);
    }

    @Test
    void callThatNoUpstreamAcceptsInTimeIsRefusedAtOnceUntilTheShortestPauseEnds() {
        announcePause(FIRST, PAUSE);
        announcePause(SECOND, PAUSE.multipliedBy(4));

        final RequestIdentifier request = site.call("/read/x");
        assertThat(site.lastInstruction(request))
                .isInstanceOfSatisfying(
                        CallInstruction.Refuse.class,
                        refuse -> assertThat(refuse.refusal().retryAfter()).isBetween(PAUSE, PAUSE.plusSeconds(1)));
        assertThat(((CallInstruction.Refuse) site.lastInstruction(site.call("/read/x")))
                        .refusal()
                        .retryAfter())
                .isNotEqualTo(((CallInstruction.Refuse) site.lastInstruction(request))
                        .refusal()
                        .retryAfter());
    }

    @Test
    void callThatAnUpstreamAcceptsInTimeWaits() {
        announceLeaving(SECOND, 1);
        announcePause(FIRST, Duration.ofMillis(100));
        final RequestIdentifier request = site.call("/read/x");
        assertThat(site.instructions(request)).isEmpty();
        site.advanceClock(Duration.ofMillis(100));

        site.step(new Event.TimerFired(new TimerKey.CallQueue(SiteFixture.LEDGER)));

        assertThat(site.lastSend(request).upstream().name()).isEqualTo(FIRST);
    }

    @Test
    void callIsRefusedAtOnceWhenAllUpstreamsLeave() {
        announceLeaving(FIRST, 1);
        announceLeaving(SECOND, 1);

        assertThat(site.lastInstruction(site.call("/read/x"))).isInstanceOf(CallInstruction.Refuse.class);
    }

    @Test
    void hugePausesAreBounded() {
        announcePause(FIRST, Duration.ofSeconds(Long.MAX_VALUE));

        site.advanceClock(UpstreamNoticeController.MAX_PAUSE);
        announceLeaving(SECOND, 1);
        site.confirmTable();
        assertThat(site.lastSend(site.call("/read/x")).upstream().name()).isEqualTo(FIRST);
    }

    @Test
    void announcementsAreBounded() {
        for (int i = 0; i < UpstreamNoticeController.MAX_ANNOUNCEMENTS + 10; i++) {
            announceLeaving(FIRST, i);
        }

        assertThat(site.board().serving().notices().announcements())
                .hasSize(UpstreamNoticeController.MAX_ANNOUNCEMENTS);
    }

    /** An instance that has not been answered by the upstream would otherwise go on sending to it. */
    @Test
    void leavingIsReportedToTheOtherInstances() {
        site.changeStore(new StoreChange.InstanceRegistered(SiteFixture.member("b")));
        announceLeaving(FIRST, 1);
        site.step(new Event.TimerFired(new TimerKey.LoadBroadcast()));
        final PeerMessage report = site.effects().stream()
                .filter(Effect.SendToPeer.class::isInstance)
                .map(effect -> ((Effect.SendToPeer) effect).message())
                .findFirst()
                .orElseThrow();
        final SiteFixture other = SiteFixture.serving();
        other.changeStore(new StoreChange.InstanceRegistered(SiteFixture.member("c")));

        other.step(new Event.PeerMessageReceived(SiteFixture.member("c").incarnation(), report));

        assertThat(other.lastSend(other.call("/read/x")).upstream().name()).isEqualTo(SECOND);
    }

    private void announceLeaving(final UpstreamName upstream, final long startedAtMillis) {
        announce(new UpstreamNotice(
                new UpstreamStart(upstream, startedAtMillis), new RequestIdentifier("r"), true, Optional.empty()));
    }

    private void announcePause(final UpstreamName upstream, final Duration pause) {
        announce(new UpstreamNotice(
                new UpstreamStart(upstream, 1), new RequestIdentifier("r"), false, Optional.of(pause)));
    }

    private void announce(final UpstreamNotice notice) {
        site.step(new Event.UpstreamNoticeReceived(notice));
    }

    private void register(final UpstreamName name, final long startedAtMillis) {
        final RegisteredUpstream known =
                SiteFixture.upstream(name.value(), SiteFixture.LEDGER, UpstreamRole.PLAIN, SiteFixture.LOCAL_DOMAIN);
        site.changeStore(new StoreChange.UpstreamRegistered(new RegisteredUpstream(
                known.name(),
                startedAtMillis,
                known.service(),
                known.address(),
                known.failureDomain(),
                known.role(),
                known.slots(),
                known.draining(),
                known.coldFor())));
    }
}
