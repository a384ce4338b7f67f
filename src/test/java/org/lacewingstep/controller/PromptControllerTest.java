package org.lacewingstep.controller;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PromptEvidence;
import org.lacewingstep.blackboard.PromptSection;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.error.ErrorCode;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which parts of prompts an instance quarantines and how the calls with a quarantined part end. */
class PromptControllerTest {
    private static final PromptPart SHARED = PromptTraffic.SHARED;
    private static final PromptPart HARMFUL = PromptTraffic.HARMFUL;

    private final SiteFixture site = SiteFixture.serving();
    private int starts;

    @Test
    void crashesSeenByOtherInstancesCountOnceHoweverOftenTheyAreReported() {
        for (int i = 0; i < 20; i++) {
            receive(evidence(crash("p", Duration.ofMillis(300L * i))));
            site.advanceClock(Duration.ofMillis(300));
        }

        assertThat(suspicion(HARMFUL).crashes()).hasSize(1);
        assertThat(suspicion(HARMFUL).quarantinedAt()).isEmpty();
    }

    @Test
    void callsWithAQuarantinedPartAreRefusedAsNotRun() {
        quarantine();

        final RequestIdentifier request = site.call("/read/x", 1, List.of(SHARED, HARMFUL));

        assertThat(site.lastInstruction(request)).isInstanceOfSatisfying(CallInstruction.Refuse.class, refuse -> {
            assertThat(refuse.refusal().code()).isEqualTo(ErrorCode.PROMPT_QUARANTINED);
            assertThat(refuse.refusal().retryAfter()).isPositive();
        });
        assertThat(loggedOutcomes()).contains("quarantined", "refused PROMPT_QUARANTINED");
        assertThat(site.lastInstruction(site.call("/read/x", 1, List.of(SHARED))))
                .isInstanceOf(Send.class);
    }

    @Test
    void callThatCrashedAnUpstreamFailsAsPossiblyRunOnceItsPartIsQuarantined() {
        final RequestIdentifier request = site.call("/read/x", 1, List.of(SHARED, HARMFUL));
        receive(evidence(crash("p", Duration.ofSeconds(2)), crash("q", Duration.ofSeconds(1))));

        site.endAttempt(request, new CallResult.Broken(false, false));

        assertThat(site.lastInstruction(request))
                .isInstanceOfSatisfying(CallInstruction.Fail.class, fail -> assertThat(fail.code())
                        .isEqualTo(ErrorCode.UPSTREAM_FAILED));
    }

    @Test
    void callWhoseMemoryIsReservedIsNotSentOnceItsPartIsQuarantined() {
        final SiteFixture reserving = SiteFixture.reserving();
        final RequestIdentifier request = reserving.call("/stream/x", 100, List.of(SHARED, HARMFUL));
        final UpstreamName upstream = ((CallInstruction.Reserve) reserving.lastInstruction(request))
                .upstream()
                .name();
        receive(reserving, evidence(threeCrashes()));

        reserving.step(new Event.ReservationCompleted(request, upstream, new CallResult.Served()));

        assertThat(reserving.lastInstruction(request))
                .isInstanceOfSatisfying(
                        CallInstruction.Refuse.class,
                        refuse -> assertThat(refuse.refusal().code()).isEqualTo(ErrorCode.PROMPT_QUARANTINED));
    }

    @Test
    void responseToACallInFlightReleasesThePart() {
        final RequestIdentifier inFlight = site.call("/read/x", 1, List.of(SHARED, HARMFUL));
        quarantine();

        site.endAttempt(inFlight, new CallResult.Served());

        assertThat(site.lastInstruction(site.call("/read/x", 1, List.of(HARMFUL))))
                .isInstanceOf(Send.class);
        assertThat(loggedOutcomes()).contains("released");
    }

    @Test
    void responseThatBreaksOffLongAfterItsFirstEventShowsThatThePartIsSound() {
        final RequestIdentifier inFlight = site.call("/read/x", 1, List.of(SHARED, HARMFUL));
        quarantine();

        site.endAttempt(inFlight, new CallResult.Broken(false, true, Optional.of(PromptController.SOUND_PROGRESS)));

        assertThat(site.board().serving().prompts().suspicions()).isEmpty();
    }

    /** An upstream that crashes as it begins a response may have sent the first events of it. */
    @Test
    void responseThatBreaksOffSoonAfterItsFirstEventIsACrash() {
        final RequestIdentifier inFlight = site.call("/read/x", 1, List.of(SHARED, HARMFUL));
        quarantine();

        site.endAttempt(
                inFlight,
                new CallResult.Broken(false, true, Optional.of(PromptController.SOUND_PROGRESS.minusMillis(1))));

        assertThat(suspicion(HARMFUL).crashes()).hasSize(4);
        assertThat(suspicion(HARMFUL).quarantinedAt()).isPresent();
    }

    /** The events of the attempt before say nothing about an upstream that crashes before its first event. */
    @Test
    void crashBeforeTheFirstEventOfAResumedStreamCounts() {
        final RequestIdentifier inFlight = site.call("/read/x", 1, List.of(SHARED, HARMFUL));
        quarantine();

        site.endAttempt(inFlight, new CallResult.Broken(false, true));

        assertThat(suspicion(HARMFUL).crashes()).hasSize(4);
    }

    @Test
    void crashOfAnUpstreamThatWasSilentBeforeCounts() {
        final SiteFixture reserving = SiteFixture.reserving();
        final RequestIdentifier request = reserving.call("/stream/x", 100, List.of(SHARED, HARMFUL));
        final UpstreamName upstream = ((CallInstruction.Reserve) reserving.lastInstruction(request))
                .upstream()
                .name();
        reserving.step(new Event.ReservationCompleted(request, upstream, new CallResult.Served()));
        final int attempt = reserving.lastSend(request).attempt();
        reserving.step(new Event.UpstreamStalled(upstream, Optional.of(new AttemptIdentifier(request, attempt))));

        reserving.step(new Event.CallAttemptEnded(request, attempt, new CallResult.Broken(false, false)));

        assertThat(reserving.board().serving().prompts().suspicions()).containsOnlyKeys(SHARED, HARMFUL);
    }

    @Test
    void silenceAndFailuresOfUpstreamsAreNoCrashes() {
        for (final CallResult result : List.of(
                new CallResult.Broken(true, false),
                new CallResult.FailedByUpstream(500),
                new CallResult.NotRun(true))) {
            site.endAttempt(site.call("/read/x", 1, List.of(HARMFUL)), result);
        }

        assertThat(site.board().serving().prompts().suspicions()).isEmpty();
    }

    @Test
    void crashOfOneUpstreamCountsOnceForAllItsCalls() {
        final RequestIdentifier[] requests = new RequestIdentifier[8];
        for (int i = 0; i < requests.length; i++) {
            requests[i] = site.call("/post/x", 1, List.of(SHARED, new PromptPart("c" + i)));
        }
        for (final RequestIdentifier request : requests) {
            site.advanceClock(Duration.ofMillis(200));
            site.endAttempt(request, new CallResult.Broken(false, false));
        }

        assertThat(suspicion(SHARED).crashes()).hasSize(2);
        assertThat(suspicion(SHARED).quarantinedAt()).isEmpty();
    }

    @Test
    void responseAtAnotherInstanceReleasesThePart() {
        quarantine();

        site.advanceClock(Duration.ofSeconds(1));
        receive(new PromptEvidence(1, List.of(), Optional.of(Duration.ofMillis(100))));
        receive(evidence(threeCrashes(Duration.ofSeconds(2))));

        assertThat(site.board().serving().prompts().suspicions()).doesNotContainKey(HARMFUL);
    }

    @Test
    void suspicionOfAPartThatWasServedHereIsAnsweredSoon() {
        site.changeStore(new StoreChange.InstanceRegistered(SiteFixture.member("b")));
        site.endAttempt(site.call("/read/x", 1, List.of(HARMFUL)), new CallResult.Served());
        broadcast();
        site.advanceClock(Duration.ofMillis(500));
        site.effects().clear();

        receive(evidence(crash("p", Duration.ofMillis(10))));

        assertThat(site.effects())
                .contains(new Effect.StartTimer(
                        new TimerKey.LoadBroadcast(), site.now().plusMillis(50)));
        site.advanceClock(Duration.ofMillis(50));
        broadcast();
        assertThat(site.effects())
                .filteredOn(Effect.SendToPeer.class::isInstance)
                .extracting(effect -> ((PeerMessage.SiteLoad) ((Effect.SendToPeer) effect).message())
                        .prompts()
                        .get(HARMFUL)
                        .servedAge())
                .containsExactly(Optional.of(Duration.ofMillis(550)));
    }

    @Test
    void quarantineLapsesSoThatARepairedUpstreamIsFoundAgain() {
        quarantine();
        site.advanceClock(PromptQuarantine.CRASH_LIFETIME.minusSeconds(10));
        broadcast();
        assertThat(suspicion(HARMFUL).quarantinedAt()).isPresent();

        site.advanceClock(Duration.ofSeconds(10));
        broadcast();
        assertThat(suspicion(HARMFUL).quarantinedAt()).isEmpty();

        receive(evidence(threeCrashes(PromptQuarantine.CRASH_LIFETIME.minusMillis(10))));
        site.advanceClock(Duration.ofMinutes(3));
        broadcast();
        assertThat(site.board().serving().prompts().suspicions()).isEmpty();
    }

    @Test
    void partThatWasServedASecondAgoIsNotQuarantined() {
        site.endAttempt(site.call("/read/x", 1, List.of(HARMFUL)), new CallResult.Served());
        site.advanceClock(Duration.ofSeconds(1));

        receive(evidence(
                crash("p", Duration.ofMillis(900)),
                crash("q", Duration.ofMillis(600)),
                crash("r", Duration.ofMillis(100))));

        assertThat(suspicion(HARMFUL).quarantinedAt()).isEmpty();
    }

    @Test
    void firstPartIsNotQuarantinedForTheCrashesOfALaterOne() {
        receive(site, Map.of(SHARED, new PromptEvidence(0, List.of(threeCrashes()), Optional.empty())));
        receive(site, Map.of(HARMFUL, evidence(threeCrashes())));

        assertThat(suspicion(HARMFUL).quarantinedAt()).isPresent();
        assertThat(suspicion(SHARED).quarantinedAt()).isEmpty();
    }

    @Test
    void firstPartIsNotQuarantinedBeforeTheLastCrashOfALaterOneIsReported() {
        receive(evidence(crash("p", Duration.ofMillis(3000)), crash("q", Duration.ofMillis(2000))));
        receive(site, Map.of(SHARED, new PromptEvidence(0, List.of(threeCrashes()), Optional.empty())));

        assertThat(suspicion(SHARED).quarantinedAt()).isEmpty();
    }

    @Test
    void harmfulFirstPartIsQuarantinedThoughEachOfItsCallsCrashesTwoUpstreams() {
        for (int i = 0; i < 2; i++) {
            final RequestIdentifier request = site.call("/read/x", 1, List.of(HARMFUL, new PromptPart("c" + i)));
            for (int attempt = 0; attempt < 2; attempt++) {
                site.advanceClock(Duration.ofMillis(300));
                site.endAttempt(request, new CallResult.Broken(false, false));
                restartUpstreams();
            }
        }

        assertThat(suspicion(HARMFUL).quarantinedAt()).isPresent();
        assertThat(suspicion(new PromptPart("c0")).quarantinedAt()).isEmpty();
    }

    private void restartUpstreams() {
        starts++;
        final RegisteredUpstream[] next = IntStream.of(1, 2)
                .mapToObj(i -> SiteFixture.upstream(
                        "ledger-" + i + "-" + starts, SiteFixture.LEDGER, UpstreamRole.PLAIN, SiteFixture.LOCAL_DOMAIN))
                .toArray(RegisteredUpstream[]::new);
        for (final RegisteredUpstream upstream : next) {
            site.changeStore(new StoreChange.UpstreamRegistered(upstream));
        }
    }

    @Test
    void manyCrashesAtOneTimeDoNotReplaceTheIncidentsBefore() {
        receive(evidence(crash("p", Duration.ofMillis(3000)), crash("q", Duration.ofMillis(2000))));
        for (int i = 0; i < 100; i++) {
            receive(evidence(crash("v" + i, Duration.ofMillis(i))));
        }

        assertThat(suspicion(HARMFUL).quarantinedAt()).isPresent();
    }

    @Test
    void suspectedPartsAreBounded() {
        quarantine();
        for (int i = 0; i < 10_000; i++) {
            final PromptPart part = new PromptPart("f" + i);
            receive(
                    site,
                    Map.of(part, new PromptEvidence(1, List.of(crash("u" + i, Duration.ZERO)), Optional.empty())));
            site.endAttempt(site.call("/read/x", 1, List.of(new PromptPart("e" + i))), new CallResult.Served());
            site.effects().clear();
        }
        for (int i = 0; i < 100; i++) {
            receive(evidence(crash("v" + i, Duration.ZERO)));
        }

        final PromptSection section = site.board().serving().prompts();
        assertThat(section.suspicions()).hasSizeLessThanOrEqualTo(512).containsKey(HARMFUL);
        assertThat(section.responses()).hasSizeLessThanOrEqualTo(4096);
        assertThat(suspicion(HARMFUL).crashes()).hasSizeLessThanOrEqualTo(32);
        assertThat(PromptReports.create(section, site.now())).hasSizeLessThanOrEqualTo(128);
    }

    private void quarantine() {
        receive(evidence(threeCrashes()));
        assertThat(suspicion(HARMFUL).quarantinedAt()).isPresent();
    }

    private static PromptEvidence.CrashReport[] threeCrashes() {
        return threeCrashes(Duration.ZERO);
    }

    private static PromptEvidence.CrashReport[] threeCrashes(final Duration age) {
        return new PromptEvidence.CrashReport[] {
            crash("p", age.plusMillis(3000)), crash("q", age.plusMillis(2000)), crash("r", age.plusMillis(1000))
        };
    }

    private static PromptEvidence.CrashReport crash(final String upstream, final Duration age) {
        return new PromptEvidence.CrashReport(new UpstreamStart(new UpstreamName(upstream), 1), age, false, Set.of());
    }

    private static PromptEvidence evidence(final PromptEvidence.CrashReport... crashes) {
        return new PromptEvidence(1, List.of(crashes), Optional.empty());
    }

    private void receive(final PromptEvidence evidence) {
        receive(site, evidence);
    }

    private static void receive(final SiteFixture receiver, final PromptEvidence evidence) {
        receive(receiver, Map.of(HARMFUL, evidence));
    }

    private static void receive(final SiteFixture receiver, final Map<PromptPart, PromptEvidence> evidence) {
        receiver.step(new Event.PeerMessageReceived(
                SiteFixture.member("b").incarnation(),
                new PeerMessage.SiteLoad(Map.of(), Map.of(), evidence, Set.of())));
    }

    private void broadcast() {
        site.confirmTable();
        site.step(new Event.TimerFired(new TimerKey.LoadBroadcast()));
    }

    private PromptSection.Suspicion suspicion(final PromptPart part) {
        return site.board().serving().prompts().suspicions().get(part);
    }

    private List<String> loggedOutcomes() {
        return site.effects().stream()
                .filter(Effect.Log.class::isInstance)
                .map(effect -> ((Effect.Log) effect).decision().outcome())
                .toList();
    }
}
