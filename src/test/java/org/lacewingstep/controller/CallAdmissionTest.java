package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallInstruction.Refuse;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.error.ErrorCode;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which calls are admitted: confirmation of the routing table, keys, rates and shutdown. */
class CallAdmissionTest {
    private final SiteFixture site = SiteFixture.serving();

    @Test
    void keyedCallNeedsARecentConfirmationOfTheTable() {
        site.advanceClock(Duration.ofMillis(4700));
        assertThat(site.lastInstruction(site.call("/post/x"))).isInstanceOf(Send.class);

        site.advanceClock(Duration.ofMillis(100));
        assertThat(refusalCode(site.call("/post/x"))).isEqualTo(ErrorCode.NOT_READY);

        site.confirmTable();
        assertThat(site.lastInstruction(site.call("/post/x"))).isInstanceOf(Send.class);
    }

    @Test
    void clockJumpInvalidatesTheConfirmation() {
        site.step(new Event.ClockJumped(Duration.ofSeconds(3)));

        assertThat(refusalCode(site.call("/post/x"))).isEqualTo(ErrorCode.NOT_READY);
    }

    @Test
    void withdrawnKeyIsRefused() {
        site.changeStore(new StoreChange.TableWritten(SiteFixture.table(2, 1000, Map.of()), new StoreRevision(0, 2)));

        assertThat(refusalCode(site.call("/post/x"))).isEqualTo(ErrorCode.KEY_UNKNOWN);
    }

    @Test
    void queuedCallIsRefusedAfterItsKeyIsWithdrawn() {
        site.changeStore(
                new StoreChange.UpstreamUnregistered(
                        SiteFixture.upstreams().get(0).name()),
                new StoreChange.UpstreamUnregistered(
                        SiteFixture.upstreams().get(1).name()));
        site.advanceClock(Duration.ofSeconds(2));
        site.confirmTable();
        final RequestIdentifier request = site.call("/post/x");
        assertThat(site.instructions(request)).isEmpty();

        site.changeStore(new StoreChange.TableWritten(SiteFixture.table(2, 1000, Map.of()), new StoreRevision(0, 2)));
        site.changeStore(
                new StoreChange.UpstreamRegistered(SiteFixture.upstreams().get(0)));
        site.step(new Event.TimerFired(new TimerKey.CallQueue(SiteFixture.LEDGER)));

        assertThat(refusalCode(request)).isEqualTo(ErrorCode.NOT_READY);
    }

    @Test
    void confirmationRequestedBeforeASuspensionDoesNotCount() {
        final Instant requestedAt = site.now();
        site.advanceClock(Duration.ofMillis(5));
        site.step(new Event.ClockJumped(Duration.ofSeconds(8)));

        site.step(new Event.TableConfirmed(Optional.empty(), new StoreRevision(0, 1), requestedAt));
        assertThat(refusalCode(site.call("/post/x"))).isEqualTo(ErrorCode.NOT_READY);

        site.confirmTable();
        assertThat(site.lastInstruction(site.call("/post/x"))).isInstanceOf(CallInstruction.Send.class);
    }

    @Test
    void unknownRouteIsRefusedAsUnknownOnlyWhileTheTableIsConfirmed() {
        assertThat(refusalCode(site.call("/nowhere/x"))).isEqualTo(ErrorCode.SERVICE_UNKNOWN);

        site.advanceClock(Duration.ofSeconds(6));

        assertThat(refusalCode(site.call("/nowhere/x"))).isEqualTo(ErrorCode.NOT_READY);
    }

    @Test
    void instanceWithoutTableRefusesAsNotReady() {
        final SiteFixture starting = new SiteFixture(true);
        final RequestIdentifier request = starting.call("/post/x");

        assertThat(starting.lastInstruction(request))
                .isInstanceOfSatisfying(
                        CallInstruction.Refuse.class,
                        refuse -> assertThat(refuse.refusal().code()).isEqualTo(ErrorCode.NOT_READY));
    }

    @Test
    void teamIsRefusedBeyondItsRate() {
        site.changeStore(new StoreChange.TableWritten(SiteFixture.table(2, 1000), new StoreRevision(0, 2)));
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            sent += site.lastInstruction(site.call("/post/x", 300)) instanceof Send ? 1 : 0;
        }

        // The bucket holds the burst of 1000 plus 10 %, and 30 % of the slack of 1000 tokens: 1400 in all.
        // The last call may overdraw the bucket.
        assertThat(sent).isEqualTo(5);
    }

    @Test
    void callsWithoutTokensMayOverdrawTheBucketWithinABound() {
        site.changeStore(new StoreChange.TableWritten(SiteFixture.table(2, 1000), new StoreRevision(0, 2)));
        assertThat(site.lastInstruction(site.call("/post/x", 1250))).isInstanceOf(Send.class);
        assertThat(site.lastInstruction(site.call("/post/x", 300))).isInstanceOf(Send.class);
        assertThat(refusalCode(site.call("/post/x", 300))).isEqualTo(ErrorCode.RATE_EXCEEDED);

        int sent = 0;
        for (int i = 0; i < 10; i++) {
            sent += site.lastInstruction(site.call("/post/x", 200)) instanceof Send ? 1 : 0;
        }

        // The bucket holds 1400 units and 1550 are spent.
        // Calls that name no tokens may overdraw the bucket by 20 % of the slack of 1000.
        assertThat(sent).isEqualTo(1);
    }

    @Test
    void bucketOfRestartedInstanceFillsFromTheTimeTheTableWasRead() {
        final SiteFixture restarted = new SiteFixture(false);
        restarted.readStore(SiteFixture.table(1, 1000), SiteFixture.upstreams());

        restarted.advanceClock(Duration.ofSeconds(1));

        assertThat(restarted.lastInstruction(restarted.call("/post/x", 1500))).isInstanceOf(Send.class);
    }

    @Test
    void instancesWithoutLoadReportsDivideTheTeamsAllowance() {
        site.changeStore(
                new StoreChange.TableWritten(SiteFixture.table(2, 1000), new StoreRevision(0, 2)),
                new StoreChange.InstanceRegistered(SiteFixture.member("a")),
                new StoreChange.InstanceRegistered(SiteFixture.member("b")),
                new StoreChange.InstanceRegistered(SiteFixture.member("c")));
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            sent += site.lastInstruction(site.call("/post/x", 300)) instanceof Send ? 1 : 0;
        }

        assertThat(sent).isEqualTo(2);
    }

    @Test
    void drainingInstanceAcceptsCallsOnlyUntilTheBalancerHasRemovedIt() {
        site.step(new Event.ShutdownRequested());
        assertThat(site.lastInstruction(site.call("/post/x"))).isInstanceOf(Send.class);

        site.advanceClock(Duration.ofMillis(2600));

        assertThat(refusalCode(site.call("/post/x"))).isEqualTo(ErrorCode.INSTANCE_DRAINING);
    }

    @Test
    void olderTableNeverReplacesANewerOne() {
        site.changeStore(new StoreChange.TableWritten(SiteFixture.table(5, 1000), new StoreRevision(0, 5)));
        site.changeStore(new StoreChange.TableWritten(SiteFixture.table(4, 1000), new StoreRevision(0, 4)));
        site.readStore(SiteFixture.table(3, 1000), List.of());

        assertThat(site.board().serving().routing().table().version()).isEqualTo(5);
    }

    private ErrorCode refusalCode(final RequestIdentifier request) {
        return ((CallInstruction.Refuse) site.lastInstruction(request))
                .refusal()
                .code();
    }

    @Test
    void callsThatWaitForAnUpstreamAreCountedAgainstTheRate() {
        final SiteFixture site = new SiteFixture(true);
        site.readStore(SiteFixture.table(1, 1000), SiteFixture.upstreams().subList(4, 5));
        final List<RequestIdentifier> waiting = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            waiting.add(site.call("/stream/x", 600));
        }
        assertThat(site.board().serving().calls().calls()).hasSize(3);

        assertThat(site.lastInstruction(site.call("/stream/x", 600)))
                .isInstanceOfSatisfying(
                        Refuse.class,
                        refuse -> assertThat(refuse.refusal().code()).isEqualTo(ErrorCode.RATE_EXCEEDED));

        waiting.forEach(request -> site.step(new Event.CallAbandoned(request)));
        site.call("/stream/x", 600);
        assertThat(site.board().serving().calls().calls()).hasSize(1);
    }
}
