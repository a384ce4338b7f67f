package org.lacewingstep.controller;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamUse;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that replacing a silent attempt neither leaves anything occupied nor ends work in vain. */
class ReplacedAttemptTest {
    @Test
    void callWhoseSilentAttemptCompletesAsItIsReplacedOccupiesNothing() {
        final SiteFixture site = SiteFixture.serving();
        final RequestIdentifier request = site.call("/read/x");
        stall(site, request);
        assertThat(site.lastSend(request).attempt()).isEqualTo(2);

        // The session has passed on the response of the first attempt and ignores further instructions.
        site.step(new Event.CallAttemptEnded(request, 1, new CallResult.Served()));

        assertThat(site.board().serving().calls().calls()).isEmpty();
        assertThat(site.board().serving().loads().loads().values())
                .allSatisfy(load -> assertThat(load.running()).isEqualTo(UpstreamUse.NONE));
    }

    @Test
    void silentAttemptIsNotReplacedWhenNoTimeIsLeftForAnother() {
        final SiteFixture site = SiteFixture.serving();
        final RequestIdentifier request = site.call("/read/x");
        final Send only = site.lastSend(request);
        site.advanceClock(Duration.between(site.now(), only.deadline()).minusMillis(10));

        stall(site, request);

        assertThat(site.lastInstruction(request)).isEqualTo(only);
    }

    private static void stall(final SiteFixture site, final RequestIdentifier request) {
        final Send send = site.lastSend(request);
        site.step(new Event.UpstreamStalled(
                send.upstream().name(), Optional.of(new AttemptIdentifier(request, send.attempt()))));
    }
}
