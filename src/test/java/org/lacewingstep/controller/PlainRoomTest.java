package org.lacewingstep.controller;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.blackboard.WorkMeasurement;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.domain.WorkKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how many plain calls are sent to upstreams that are full or have refused. */
class PlainRoomTest {
    private static final UpstreamName LEDGER_1 = new UpstreamName("ledger-1");
    private static final UpstreamName LEDGER_2 = new UpstreamName("ledger-2");
    private static final int SLOTS = 8;

    private final SiteFixture site = SiteFixture.serving();

    @Test
    void callsBeyondThePlacesOnTimeWaitAtTheInstanceInOrder() {
        measure(0.3);
        RequestIdentifier running = null;
        for (int i = 0; i < 2 * SLOTS; i++) {
            running = site.call("/post/x");
            assertThat(site.lastInstruction(running)).isInstanceOf(Send.class);
        }
        final RequestIdentifier first = site.call("/post/x");
        final RequestIdentifier second = site.call("/post/x");
        assertThat(site.instructions(first)).isEmpty();
        assertThat(site.instructions(second)).isEmpty();

        site.endAttempt(running, new CallResult.Served());

        assertThat(site.lastInstruction(first)).isInstanceOf(Send.class);
        assertThat(site.instructions(second)).isEmpty();
    }

    @Test
    void fasterUpstreamsHoldMoreCalls() {
        measure(0.02);
        for (int i = 0; i < 6 * SLOTS; i++) {
            assertThat(site.lastInstruction(site.call("/post/x"))).isInstanceOf(Send.class);
        }
    }

    @Test
    void callThatCannotBeOnTimeIsNotHeldBack() {
        measure(0.3);
        for (int i = 0; i < 2 * SLOTS; i++) {
            site.call("/post/x");
        }
        final RequestIdentifier late = site.call("/post/x");

        site.advanceClock(Duration.ofMillis(200));
        site.step(new Event.TimerFired(new TimerKey.CallQueue(SiteFixture.LEDGER)));

        assertThat(site.lastInstruction(late)).isInstanceOf(Send.class);
    }

    @Test
    void upstreamThatRefusedReceivesPacedAttempts() {
        final RequestIdentifier first = site.call("/post/x");
        final RequestIdentifier second = site.call("/post/x");
        site.endAttempt(first, new CallResult.Served());
        site.endAttempt(second, new CallResult.Served());
        refuse(LEDGER_1);
        refuse(LEDGER_2);
        refuse(LEDGER_2);
        refuse(LEDGER_2);
        final RequestIdentifier waiting = site.call("/post/x");
        assertThat(site.instructions(waiting)).isEmpty();

        site.advanceClock(Duration.ofMillis(150));
        site.step(new Event.TimerFired(new TimerKey.CallQueue(SiteFixture.LEDGER)));

        assertThat(site.lastInstruction(waiting)).isInstanceOf(Send.class);
    }

    @Test
    void callThatMustNotRunTwiceIsNotSentWhereTheForecastExceedsItsTime() {
        measure(3);

        final RequestIdentifier unsafe = site.call("/post/x");
        final RequestIdentifier repeatable = site.call("/read/x");

        assertThat(site.instructions(unsafe)).isEmpty();
        assertThat(site.lastInstruction(repeatable)).isInstanceOf(Send.class);
    }

    private void refuse(final UpstreamName name) {
        site.step(new Event.UpstreamReleased(name, 0, Optional.of(new CallResult.NotRun(true))));
    }

    private void measure(final double seconds) {
        for (final UpstreamName name : new UpstreamName[] {LEDGER_1, LEDGER_2}) {
            for (int i = 0; i < 10; i++) {
                site.step(new Event.WorkMeasured(new WorkMeasurement(
                        new RequestIdentifier("measured"),
                        new UpstreamStart(name, 1),
                        WorkKind.PLAIN_CALL,
                        1,
                        Duration.ofNanos((long) (seconds * 1e9)))));
            }
        }
    }
}
