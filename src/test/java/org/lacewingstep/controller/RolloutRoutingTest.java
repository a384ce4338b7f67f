package org.lacewingstep.controller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.RolloutOrder;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.RolloutPlan.Stage;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.VersionName;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that prompts, streams and retries keep to the versions that a rollout permits. */
class RolloutRoutingTest {
    private static final VersionName NEW = RolloutFleet.NEW;
    private static final CallResult BEGUN = new CallResult.Broken(false, true);
    private static final CallResult FAILED = new CallResult.FailedByUpstream(500);

    private final SiteFixture site = new SiteFixture(true);
    private long revision = 200;

    @BeforeEach
    void start() {
        site.step(new Event.SiteReloaded(
                RolloutFleet.policy(site.board().serving().site().bounds())));
        final List<RegisteredUpstream> upstreams = new ArrayList<>();
        for (final UpstreamRole role : UpstreamRole.values()) {
            for (int i = 0; i < 4; i++) {
                upstreams.add(upstream(role, RolloutFleet.OLD, i));
            }
        }
        site.readStore(SiteFixture.table(1, 1_000_000_000), upstreams);
        site.confirmTable();
    }

    private static RegisteredUpstream upstream(final UpstreamRole role, final VersionName version, final int number) {
        return new RegisteredUpstream(
                new UpstreamName(version + "-" + role + "-" + number),
                1,
                service(role),
                new PeerAddress("127.0.0.1", 80),
                SiteFixture.LOCAL_DOMAIN,
                role,
                100,
                false,
                Duration.ZERO,
                version);
    }

    private static ServiceName service(final UpstreamRole role) {
        return role == UpstreamRole.PLAIN ? SiteFixture.LEDGER : SiteFixture.ENGINES;
    }

    private void reach(final Stage stage) {
        for (final UpstreamRole role : UpstreamRole.values()) {
            site.changeStore(
                    new StoreChange.RolloutOrdered(new RolloutOrder(service(role), NEW, Duration.ofSeconds(30), 150)));
            for (int i = 0; i < 4; i++) {
                site.changeStore(new StoreChange.UpstreamRegistered(upstream(role, NEW, i)));
            }
            revision++;
            site.changeStore(new StoreChange.RolloutPlanChanged(
                    new RolloutPlan(
                            service(role),
                            NEW,
                            150,
                            stage,
                            site.now(),
                            RolloutPlan.Tally.NONE,
                            new InstanceName("another")),
                    new StoreRevision(0, revision)));
        }
        site.step(new Event.TimerFired(new TimerKey.RolloutCheck()));
    }

    /** Sends a call some time after the last one, with recent news of the store. */
    private RequestIdentifier callLater(final String path) {
        site.advanceClock(Duration.ofMillis(50));
        site.confirmTable();
        site.changeStore();
        return site.call(path, 1);
    }

    private Send sendAndServe(final String path) {
        final RequestIdentifier request = callLater(path);
        final Send send = site.lastSend(request);
        site.endAttempt(request, new CallResult.Served());
        return send;
    }

    /** Sends calls until one goes to an upstream of a version. */
    private RequestIdentifier sentTo(final VersionName version, final String path) {
        while (true) {
            final RequestIdentifier request = callLater(path);
            if (site.lastSend(request).upstream().version().equals(version)) {
                return request;
            }
            site.endAttempt(request, new CallResult.Served());
        }
    }

    @Test
    void promptIsProcessedByTheVersionThatGeneratesTheResponse() {
        reach(Stage.PROBING);
        final Set<VersionName> versions = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            final Send send = sendAndServe("/stream/x");
            versions.add(send.upstream().version());
            assertThat(send.prefill().map(RegisteredUpstream::version))
                    .isEqualTo(Optional.of(send.upstream().version()));
        }
        assertThat(versions).containsExactlyInAnyOrder(RolloutFleet.OLD, NEW);
    }

    @Test
    void streamThatHasBegunIsContinuedByItsVersion() {
        reach(Stage.PROBING);
        final RequestIdentifier exposed = sentTo(NEW, "/stream/x");
        site.endAttempt(exposed, BEGUN);
        assertThat(site.lastSend(exposed).attempt()).isEqualTo(2);
        assertThat(site.lastSend(exposed).upstream().version()).isEqualTo(NEW);

        final RequestIdentifier usual = sentTo(RolloutFleet.OLD, "/stream/x");
        reach(Stage.SHIFTING);
        site.endAttempt(usual, BEGUN);
        assertThat(site.lastSend(usual).attempt()).isEqualTo(2);
        assertThat(site.lastSend(usual).upstream().version()).isEqualTo(RolloutFleet.OLD);
    }

    @Test
    void callThatTheVersionHasFailedIsRetriedElsewhere() {
        reach(Stage.PROBING);
        for (int i = 0; i < 20; i++) {
            final RequestIdentifier request = sentTo(NEW, i % 2 == 0 ? "/read/x" : "/stream/x");
            site.endAttempt(request, FAILED);
            assertThat(site.lastSend(request).attempt()).isEqualTo(2);
            assertThat(site.lastSend(request).upstream().version()).isEqualTo(RolloutFleet.OLD);
            site.endAttempt(request, new CallResult.Served());
        }
    }

    @Test
    void versionThatWasRolledBackReceivesNothing() {
        reach(Stage.ROLLED_BACK);
        for (int i = 0; i < 200; i++) {
            final Send send = sendAndServe(i % 2 == 0 ? "/read/x" : "/stream/x");
            assertThat(send.upstream().version()).isEqualTo(RolloutFleet.OLD);
        }
    }

    @Test
    void versionWithAnOrderButWithoutAPlanReceivesNothing() {
        site.changeStore(
                new StoreChange.RolloutOrdered(new RolloutOrder(SiteFixture.LEDGER, NEW, Duration.ofSeconds(30), 150)),
                new StoreChange.UpstreamRegistered(upstream(UpstreamRole.PLAIN, NEW, 0)));
        for (int i = 0; i < 200; i++) {
            assertThat(sendAndServe("/read/x").upstream().version()).isEqualTo(RolloutFleet.OLD);
        }
    }

    @Test
    void versionsThatAppearBeforeTheInstanceIsReadyServeAlike() {
        site.changeStore(new StoreChange.UpstreamRegistered(upstream(UpstreamRole.PLAIN, NEW, 0)));
        site.step(new Event.TimerFired(new TimerKey.LifecycleCheck()));
        final VersionName late = new VersionName("v3");
        site.changeStore(new StoreChange.UpstreamRegistered(upstream(UpstreamRole.PLAIN, late, 0)));

        final Set<VersionName> versions = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            versions.add(sendAndServe("/read/x").upstream().version());
        }
        assertThat(versions).containsExactlyInAnyOrder(RolloutFleet.OLD, NEW);
    }

    @Test
    void versionThatWasReplacedReceivesNothingAlsoBeforeTheInstanceIsReady() {
        reach(Stage.SUCCEEDED);
        site.changeStore(new StoreChange.UpstreamRegistered(upstream(UpstreamRole.PLAIN, RolloutFleet.OLD, 0)));
        for (int i = 0; i < 100; i++) {
            assertThat(sendAndServe("/read/x").upstream().version()).isEqualTo(NEW);
        }
    }

    @Test
    void processThatStartsDuringARolloutKnowsWhichVersionIsNew() {
        final List<StoreChange> content = new ArrayList<>();
        content.add(
                new StoreChange.RolloutOrdered(new RolloutOrder(SiteFixture.LEDGER, NEW, Duration.ofSeconds(30), 150)));
        content.add(new StoreChange.TableWritten(SiteFixture.table(1, 1_000_000_000), new StoreRevision(0, 1)));
        content.add(new StoreChange.UpstreamRegistered(upstream(UpstreamRole.PLAIN, NEW, 0)));
        content.add(new StoreChange.UpstreamRegistered(upstream(UpstreamRole.PLAIN, RolloutFleet.OLD, 0)));
        final SiteFixture started = new SiteFixture(true);
        started.step(new Event.SiteReloaded(
                RolloutFleet.policy(started.board().serving().site().bounds())));
        started.step(new Event.StoreRead(content, new StoreRevision(0, 200), started.now()));
        started.confirmTable();

        assertThat(started.lastSend(started.call("/read/x", 1)).upstream().version())
                .isEqualTo(RolloutFleet.OLD);
    }
}
