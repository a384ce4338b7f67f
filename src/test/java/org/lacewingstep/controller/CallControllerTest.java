package org.lacewingstep.controller;

import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamUse;
import org.lacewingstep.error.ErrorCode;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how calls are retried, failed or completed when their attempts end. */
class CallControllerTest {
    private final SiteFixture site = SiteFixture.serving();

    @Test
    void atMostOnceCallThatMayHaveRunIsNotRetried() {
        final RequestIdentifier request = site.call("/post/x");

        site.endAttempt(request, new CallResult.Broken(false, false));

        assertThat(site.instructions(request)).hasSize(2);
        assertThat(site.lastInstruction(request)).isInstanceOf(CallInstruction.Fail.class);
    }

    @Test
    void callThatWasNotRunIsRetriedAtAnotherUpstream() {
        final RequestIdentifier request = site.call("/post/x");
        final Send first = site.lastSend(request);

        site.endAttempt(request, new CallResult.NotRun(true));

        assertThat(site.lastSend(request).upstream().name())
                .isNotEqualTo(first.upstream().name());
    }

    @Test
    void attemptsAreLimitedByTheRoute() {
        final RequestIdentifier request = site.call("/read/x");

        site.endAttempt(request, new CallResult.Broken(false, false));
        site.endAttempt(request, new CallResult.Broken(false, false));

        assertThat(site.instructions(request).stream().filter(Send.class::isInstance))
                .hasSize(2);
        assertThat(site.lastInstruction(request)).isInstanceOf(CallInstruction.Fail.class);
    }

    @Test
    void callIsRefusedAsNotRunOnlyIfNoAttemptMayHaveRun() {
        final RequestIdentifier request = site.call("/read/x");

        site.endAttempt(request, new CallResult.Broken(false, false));
        site.endAttempt(request, new CallResult.NotRun(true));

        assertThat(site.lastInstruction(request)).isInstanceOf(CallInstruction.Fail.class);
    }

    @Test
    void unreachedUpstreamDoesNotCountAsAnAttempt() {
        final RequestIdentifier request = site.call("/once/x");

        site.endAttempt(request, new CallResult.NotRun(false));

        assertThat(site.lastInstruction(request)).isInstanceOf(Send.class);
    }

    @Test
    void upstreamErrorIsPassedOnWhenNoRetryIsPossible() {
        final RequestIdentifier request = site.call("/post/x");

        site.endAttempt(request, new CallResult.FailedByUpstream(500));

        assertThat(site.lastInstruction(request)).isEqualTo(new CallInstruction.ForwardFailure());
    }

    @Test
    void begunStreamIsResumedAfterItsKeyWasWithdrawn() {
        final RequestIdentifier request = site.call("/stream/x");
        final Send first = site.lastSend(request);
        site.changeStore(
                new StoreChange.TableWritten(SiteFixture.table(2, 1_000_000, Map.of()), new StoreRevision(0, 2)));

        site.endAttempt(request, new CallResult.Broken(false, true));

        assertThat(site.lastInstruction(request)).isInstanceOfSatisfying(Send.class, next -> assertThat(
                        next.upstream().name())
                .isNotEqualTo(first.upstream().name()));
    }

    @Test
    void callThatNoUpstreamRanIsRefusedAfterItsKeyWasWithdrawn() {
        final RequestIdentifier request = site.call("/stream/x");
        site.changeStore(
                new StoreChange.TableWritten(SiteFixture.table(2, 1_000_000, Map.of()), new StoreRevision(0, 2)));

        site.endAttempt(request, new CallResult.NotRun(true));

        assertThat(site.lastInstruction(request)).isInstanceOf(CallInstruction.Refuse.class);
    }

    @Test
    void callFailsAtItsDeadline() {
        final RequestIdentifier request = site.call("/post/x");

        site.advanceClock(Duration.ofSeconds(2));
        site.step(new Event.TimerFired(new TimerKey.CallDeadline(request)));

        assertThat(site.lastInstruction(request))
                .isInstanceOfSatisfying(CallInstruction.Fail.class, fail -> assertThat(fail.code())
                        .isEqualTo(ErrorCode.DEADLINE_EXCEEDED));
        assertThat(site.board().serving().calls().calls()).isEmpty();
    }

    @Test
    void lateResultOfAnEarlierAttemptIsIgnored() {
        final RequestIdentifier request = site.call("/read/x");
        site.endAttempt(request, new CallResult.Broken(true, false));
        final int instructions = site.instructions(request).size();

        site.step(new Event.CallAttemptEnded(request, 1, new CallResult.Served()));

        assertThat(site.instructions(request)).hasSize(instructions);
    }

    @Test
    void upstreamCapacityIsReleasedHoweverACallEnds() {
        final RequestIdentifier served = site.call("/post/x");
        final RequestIdentifier abandoned = site.call("/stream/x");
        final RequestIdentifier late = site.call("/stream/x");

        site.endAttempt(served, new CallResult.Served());
        site.step(new Event.CallAbandoned(abandoned));
        site.step(new Event.TimerFired(new TimerKey.CallDeadline(late)));

        assertThat(site.board().serving().loads().loads().values())
                .allSatisfy(load -> assertThat(load.running()).isEqualTo(UpstreamUse.NONE));
    }

    @Test
    void leavingUpstreamReceivesNoNewCalls() {
        SiteFixture.upstreams().stream()
                .filter(upstream -> upstream.name().value().equals("ledger-1"))
                .forEach(upstream ->
                        site.changeStore(new StoreChange.UpstreamRegistered(SiteFixture.draining(upstream))));

        for (int i = 0; i < 10; i++) {
            assertThat(site.lastSend(site.call("/post/x")).upstream().name().value())
                    .isEqualTo("ledger-2");
        }
    }

    @Test
    void domainOutOfServiceReceivesNoNewCalls() {
        site.changeStore(new StoreChange.DomainOutOfService(SiteFixture.LOCAL_DOMAIN));

        final Send send = site.lastSend(site.call("/stream/x"));

        assertThat(send.upstream().failureDomain()).isEqualTo(SiteFixture.REMOTE_DOMAIN);
        assertThat(send.prefill()).isEmpty();
    }

    @Test
    void callIsSentOnlyToRegionsOfItsRoute() {
        assertThat(site.lastInstruction(site.call("/home/x"))).isInstanceOf(Send.class);
        assertThat(site.instructions(site.call("/away/x"))).isEmpty();
    }

    @Test
    void upstreamThatMayBeColdReceivesALimitedRate() {
        for (int i = 0; i < 100; i++) {
            site.call("/once/x");
        }

        assertThat(site.board().serving().loads().loads().values())
                .allSatisfy(load -> assertThat(load.recentArrivals(site.now())).isLessThanOrEqualTo(11));
    }

    @Test
    void retriesStopWhenTheRetryBudgetIsSpent() {
        int retries = 0;
        for (int i = 0; i < 200; i++) {
            final RequestIdentifier request = site.call("/read/x");
            site.endAttempt(request, new CallResult.Broken(false, false));
            if (site.lastInstruction(request) instanceof Send) {
                retries++;
                site.endAttempt(request, new CallResult.Served());
            }
        }

        assertThat(retries).isBetween(1, 200 / 5 + 50);
    }
}
