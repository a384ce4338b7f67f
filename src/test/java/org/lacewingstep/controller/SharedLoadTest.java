package org.lacewingstep.controller;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.AllowanceBucket;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamUse;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/** Tests how instances report their load to each other and how the reports affect upstream choice and team rates. */
class SharedLoadTest {
    private static final Member OTHER = SiteFixture.member("b");
    private static final UpstreamName FIRST = new UpstreamName("decode-1");
    private static final UpstreamName SECOND = new UpstreamName("decode-2");

    private final SiteFixture site = SiteFixture.serving();

    @Test
    void memoryForThePredictedFinalSizeIsReservedBeforePrefill() {
        receiveLoad(Map.of(FIRST, new UpstreamUse(3, 1000), SECOND, new UpstreamUse(3, 1000)), Map.of());
        final RequestIdentifier first = site.call("/stream/x", 120);
        final RequestIdentifier second = site.call("/stream/x", 120);
        final RequestIdentifier third = site.call("/stream/x", 120);

        assertThat(site.lastSend(first).prefill()).isPresent();
        assertThat(site.lastSend(second).upstream().name())
                .isNotEqualTo(site.lastSend(first).upstream().name());
        assertThat(site.instructions(third)).isEmpty();

        site.endAttempt(first, new CallResult.Served());
        site.advanceClock(Duration.ofMillis(40));
        site.step(new Event.TimerFired(new TimerKey.CallQueue(SiteFixture.ENGINES)));

        assertThat(site.lastInstruction(third)).isInstanceOf(Send.class);
    }

    @Test
    void requestsOfOtherInstancesCountAsLoad() {
        receiveLoad(Map.of(FIRST, new UpstreamUse(1, 1100)), Map.of());

        assertThat(site.lastSend(site.call("/stream/x", 200)).upstream().name()).isEqualTo(SECOND);
    }

    @Test
    void lateCallYieldsCapacityToNewerCalls() {
        receiveLoad(Map.of(FIRST, new UpstreamUse(2, 1100), SECOND, new UpstreamUse(2, 1100)), Map.of());
        final RequestIdentifier waiting = site.call("/stream/x", 120);
        site.advanceClock(Duration.ofMillis(200));
        receiveLoad(Map.of(FIRST, new UpstreamUse(2, 950), SECOND, new UpstreamUse(2, 1100)), Map.of());

        site.step(new Event.TimerFired(new TimerKey.CallQueue(SiteFixture.ENGINES)));
        assertThat(site.instructions(waiting)).isEmpty();
        assertThat(site.lastInstruction(site.call("/stream/x", 120))).isInstanceOf(Send.class);
    }

    @Test
    void backOffGrowsWithConsecutiveRefusals() {
        assertThat(backOffAfterRefusal()).isEqualTo(Duration.ofMillis(150));
        assertThat(backOffAfterRefusal()).isEqualTo(Duration.ofMillis(300));
        assertThat(backOffAfterRefusal()).isEqualTo(Duration.ofMillis(600));

        site.step(new Event.UpstreamReleased(FIRST, 0, Optional.of(new CallResult.Served())));

        assertThat(backOffAfterRefusal()).isEqualTo(Duration.ofMillis(150));
    }

    private Duration backOffAfterRefusal() {
        site.step(new Event.UpstreamReleased(FIRST, 0, Optional.of(new CallResult.NotRun(true))));
        return Duration.between(
                site.now(), site.board().serving().loads().of(FIRST).avoidUntil());
    }

    @Test
    void loadReportExpiresWhenNoNewOneArrives() {
        receiveLoad(Map.of(FIRST, new UpstreamUse(1, 1100), SECOND, new UpstreamUse(1, 1100)), Map.of());
        assertThat(site.instructions(site.call("/stream/x", 200))).isEmpty();

        site.advanceClock(Duration.ofSeconds(3));

        assertThat(site.lastInstruction(site.call("/stream/x", 200))).isInstanceOf(Send.class);
    }

    @Test
    void largeCallNeedsNoMoreFreeMemoryThanATypicalOne() {
        receiveLoad(Map.of(FIRST, new UpstreamUse(3, 1000), SECOND, new UpstreamUse(3, 1100)), Map.of());

        assertThat(site.lastInstruction(site.call("/stream/x", 900))).isInstanceOf(Send.class);
    }

    @Test
    void requestLargerThanTheMemoryIsSentToAnIdleUpstream() {
        assertThat(site.lastInstruction(site.call("/stream/x", 5000))).isInstanceOf(Send.class);
    }

    @Test
    void loadIsReportedSoonAfterAChangeAndThenAtAnInterval() {
        site.changeStore(
                new StoreChange.InstanceRegistered(SiteFixture.member("a")), new StoreChange.InstanceRegistered(OTHER));
        final RequestIdentifier request = site.call("/stream/x", 700);
        site.effects().clear();

        site.advanceClock(Duration.ofMillis(50));
        site.step(new Event.TimerFired(new TimerKey.LoadBroadcast()));

        final UpstreamName upstream = site.board()
                .serving()
                .calls()
                .calls()
                .get(request)
                .tried()
                .iterator()
                .next();
        assertThat(site.effects()).anySatisfy(effect -> {
            assertThat(effect).isInstanceOf(Effect.SendToPeer.class);
            final Effect.SendToPeer send = (Effect.SendToPeer) effect;
            assertThat(send.receiver()).isEqualTo(OTHER);
            final PeerMessage.SiteLoad load = (PeerMessage.SiteLoad) send.message();
            assertThat(load.uses()).containsEntry(upstream, new UpstreamUse(1, 700, 1));
            assertThat(load.spent()).containsEntry(SiteFixture.TEAM, 700.0);
        });
        assertThat(site.effects())
                .contains(new Effect.StartTimer(
                        new TimerKey.LoadBroadcast(), site.now().plusSeconds(1)));
    }

    @Test
    void processedPromptIsReusedIfTheUpstreamRefused() {
        final RequestIdentifier request = site.call("/stream/x");
        site.step(new Event.PrefillEnded(request, 1, new CallResult.Served()));

        site.endAttempt(request, new CallResult.NotRun(true));

        assertThat(site.lastSend(request).usesKeptPrompt()).isTrue();
        assertThat(site.lastSend(request).prefill()).isEmpty();
    }

    @Test
    void expiredProcessedPromptIsNotReused() {
        final RequestIdentifier request = site.call("/stream/x");
        site.step(new Event.PrefillEnded(request, 1, new CallResult.Served()));
        site.advanceClock(Duration.ofMillis(400));

        site.endAttempt(request, new CallResult.NotRun(true));

        assertThat(site.lastSend(request).usesKeptPrompt()).isFalse();
    }

    @Test
    void unitsSpentAtAnotherInstanceAreDebitedOnce() {
        configureTeamLimit(2);
        receiveLoad(Map.of(), Map.of());
        final double before = level();

        receiveSpent(5000);
        receiveSpent(5000);
        receiveSpent(8000);

        assertThat(before - level()).isCloseTo(8000, within(0.01));
    }

    @Test
    void unitsAreNotDebitedAgainAfterALeaseLapsesInAPartition() {
        configureTeamLimit(2);
        final Incarnation restarted = SiteFixture.member("b", 2).incarnation();
        final PeerMessage report =
                new PeerMessage.SiteLoad(Map.of(), Map.of(SiteFixture.TEAM, 5000.0), Map.of(), Set.of());
        site.step(new Event.PeerMessageReceived(restarted, report));
        final double before = level();

        site.changeStore(new StoreChange.InstanceUnregistered(restarted.instance()));
        site.step(new Event.PeerMessageReceived(restarted, report));
        site.changeStore(new StoreChange.InstanceRegistered(SiteFixture.member("b", 2)));

        assertThat(level()).isCloseTo(before, within(0.01));
    }

    @Test
    void spentUnitsOfARestartedInstanceCountFromZero() {
        configureTeamLimit(2);
        receiveSpent(5000);
        final double before = level();

        site.step(new Event.PeerMessageReceived(
                SiteFixture.member("b", 2).incarnation(),
                new PeerMessage.SiteLoad(Map.of(), Map.of(SiteFixture.TEAM, 700.0), Map.of(), Set.of())));

        assertThat(before - level()).isCloseTo(700, within(0.01));
    }

    @Test
    void unitsSpentByAnEarlierIncarnationAreNotDebited() {
        configureTeamLimit(2);
        final double before = level();

        site.step(new Event.PeerMessageReceived(
                SiteFixture.member("b", 0).incarnation(),
                new PeerMessage.SiteLoad(Map.of(), Map.of(SiteFixture.TEAM, 90_000.0), Map.of(), Set.of())));

        assertThat(before - level()).isCloseTo(0, within(0.01));
    }

    @Test
    void teamLimitSharesArePooledOnlyWithReportingInstances() {
        configureTeamLimit(4);
        assertThat(capacityShare()).isCloseTo(0.25, within(0.001));

        receiveLoad(Map.of(), Map.of());
        assertThat(capacityShare()).isCloseTo(0.5, within(0.001));

        site.advanceClock(Duration.ofSeconds(3));
        assertThat(capacityShare()).isCloseTo(0.25, within(0.001));
    }

    @Test
    void reportsOfALargeSiteGoToOneInstanceAtAConstantInterval() {
        configureTeamLimit(80);
        site.effects().clear();

        site.step(new Event.TimerFired(new TimerKey.LoadBroadcast()));

        assertThat(site.effects())
                .contains(new Effect.StartTimer(
                        new TimerKey.LoadBroadcast(), site.now().plusSeconds(1)));
        assertThat(site.effects().stream().filter(Effect.SendToPeer.class::isInstance))
                .hasSize(1);
    }

    @Test
    void manyInstancesDoNotAllChooseTheLeastLoadedUpstream() {
        configureTeamLimit(80);
        site.changeStore(new StoreChange.UpstreamRegistered(
                SiteFixture.upstream("ledger-3", SiteFixture.LEDGER, UpstreamRole.PLAIN, SiteFixture.LOCAL_DOMAIN)));
        receiveLoad(
                Map.of(
                        new UpstreamName("ledger-1"),
                        new UpstreamUse(50, 0),
                        new UpstreamName("ledger-2"),
                        new UpstreamUse(50, 0)),
                Map.of());

        final Set<UpstreamName> chosen = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            final RequestIdentifier request = site.call("/post/x");
            chosen.add(site.lastSend(request).upstream().name());
            site.endAttempt(request, new CallResult.Served());
        }

        assertThat(chosen).hasSizeGreaterThan(1).contains(new UpstreamName("ledger-3"));
    }

    @Test
    void everyPromptFindsAnIdlePrefillEngineOnALargeSite() {
        configureTeamLimit(80);
        addPrefillEngines(Duration.ZERO);
        for (int i = 0; i < 40; i++) {
            final RequestIdentifier request = site.call("/stream/x");
            assertThat(site.lastSend(request).prefill()).isPresent();
            site.endAttempt(request, new CallResult.Served());
            site.advanceClock(Duration.ofMillis(500));
            site.confirmTable();
        }
    }

    @Test
    void coldOrBusyEnginesReceiveRequestsOnlyInTurnsOnALargeSite() {
        configureTeamLimit(80);
        addPrefillEngines(Duration.ofSeconds(2));
        final Map<UpstreamName, UpstreamUse> busy = new HashMap<>();
        for (int i = 1; i <= 10; i++) {
            busy.put(new UpstreamName("prefill-" + i), new UpstreamUse(1, 100, 4));
        }
        assertThat(prefillsOfFortyCalls()).isLessThan(20);

        addPrefillEngines(Duration.ZERO);
        receiveLoad(busy, Map.of());
        assertThat(prefillsOfFortyCalls()).isLessThan(20);
    }

    private int prefillsOfFortyCalls() {
        int prefills = 0;
        for (int i = 0; i < 40; i++) {
            final RequestIdentifier request = site.call("/stream/x");
            site.advanceClock(Duration.ofMillis(100));
            site.confirmTable();
            if (!site.instructions(request).isEmpty()) {
                prefills += site.lastSend(request).prefill().isPresent() ? 1 : 0;
                site.endAttempt(request, new CallResult.Served());
            }
        }
        return prefills;
    }

    private void addPrefillEngines(final Duration coldFor) {
        for (int i = 1; i <= 10; i++) {
            final RegisteredUpstream engine = SiteFixture.upstream(
                    "prefill-" + i, SiteFixture.ENGINES, UpstreamRole.PREFILL, SiteFixture.LOCAL_DOMAIN);
            site.changeStore(new StoreChange.UpstreamRegistered(new RegisteredUpstream(
                    engine.name(),
                    1,
                    engine.service(),
                    engine.address(),
                    engine.failureDomain(),
                    engine.role(),
                    engine.slots(),
                    false,
                    coldFor)));
            final RegisteredUpstream decode = SiteFixture.upstream(
                    "decode-" + i, SiteFixture.ENGINES, UpstreamRole.DECODE, SiteFixture.LOCAL_DOMAIN);
            site.changeStore(new StoreChange.UpstreamRegistered(decode));
        }
    }

    @Test
    void manyInstancesShareTheRequestRateOfAColdUpstream() {
        final int instances = 87;
        final long allowed = (long) (4 * 1.5 + 5);
        for (int second = 0; second < 20; second++) {
            long requests = 0;
            for (int i = 0; i < instances; i++) {
                final SiteFixture instance = new SiteFixture(SiteFixture.member("i" + i), true, 1000);
                instance.changeStore(SiteFixture.presentInstances("i", instances));
                instance.advanceClock(Duration.ofSeconds(second));
                requests += AllowanceShare.coldRequestLimit(instance.board(), FIRST, 4, instance.now());
            }
            assertThat(requests).isLessThanOrEqualTo(allowed);
        }
    }

    private void configureTeamLimit(final int instances) {
        site.changeStore(
                new StoreChange.TableWritten(SiteFixture.table(2, 100_000), new StoreRevision(0, 2)),
                new StoreChange.InstanceRegistered(SiteFixture.member("a")),
                new StoreChange.InstanceRegistered(OTHER));
        for (int i = 2; i < instances; i++) {
            site.changeStore(new StoreChange.InstanceRegistered(SiteFixture.member("c" + i)));
        }
    }

    private double capacityShare() {
        // The capacity of the whole team is the burst of 100,000 plus 10 %, and 30 % of the slack of 1000.
        return bucket().capacity() / 110_300;
    }

    private double level() {
        return bucket().level();
    }

    private AllowanceBucket bucket() {
        return AllowanceShare.bucket(site.board(), SiteFixture.TEAM, site.now()).orElseThrow();
    }

    private void receiveSpent(final double units) {
        receiveLoad(Map.of(), Map.of(SiteFixture.TEAM, units));
    }

    private void receiveLoad(final Map<UpstreamName, UpstreamUse> uses, final Map<TeamName, Double> spent) {
        site.step(new Event.PeerMessageReceived(
                OTHER.incarnation(), new PeerMessage.SiteLoad(uses, spent, Map.of(), Set.of())));
    }
}
