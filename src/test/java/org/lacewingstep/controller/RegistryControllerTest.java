package org.lacewingstep.controller;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.blackboard.UpstreamNotice;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamStart;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how the registry of upstreams is kept up to date by watching the store. */
class RegistryControllerTest {
    private final SiteFixture site = SiteFixture.serving();

    @Test
    void storeIsReadAgainWhenTheWatchedRevisionIsCompacted() {
        site.effects().clear();

        site.step(new Event.StoreWatchFailed(true, "gone"));

        assertThat(site.effects()).contains(new Effect.ReadStore());
    }

    @Test
    void failedWatchResumesAtTheLastRevision() {
        site.step(new Event.StoreWatchFailed(false, "reset"));
        site.effects().clear();

        site.step(new Event.TimerFired(new TimerKey.StoreWatch()));

        assertThat(site.effects())
                .contains(new Effect.AwaitStoreChanges(new StoreRevision(0, 100), RegistryController.WATCH_TIMEOUT));
    }

    @Test
    void missingUpstreamStaysInServiceForAGracePeriod() {
        SiteFixture.upstreams()
                .forEach(upstream -> site.changeStore(new StoreChange.UpstreamUnregistered(upstream.name())));
        assertThat(site.lastInstruction(site.call("/post/x"))).isInstanceOf(Send.class);

        site.advanceClock(Duration.ofSeconds(2));
        site.confirmTable();

        assertThat(site.instructions(site.call("/post/x"))).isEmpty();
    }

    @Test
    void registeredUpstreamIsPreferredToAMissingOne() {
        site.changeStore(new StoreChange.UpstreamUnregistered(
                SiteFixture.upstreams().getFirst().name()));

        for (int i = 0; i < 10; i++) {
            assertThat(site.lastSend(site.call("/post/x")).upstream().name().value())
                    .isEqualTo("ledger-2");
        }
    }

    @Test
    void upstreamWhoseEntryDisappearsAloneReceivesNoCallsEvenIfTheOthersPause() {
        final UpstreamName pausing = SiteFixture.upstreams().get(1).name();
        site.step(new Event.UpstreamNoticeReceived(new UpstreamNotice(
                new UpstreamStart(pausing, 1),
                new RequestIdentifier("other"),
                false,
                Optional.of(Duration.ofMillis(100)))));

        site.changeStore(new StoreChange.UpstreamUnregistered(
                SiteFixture.upstreams().getFirst().name()));

        assertThat(site.instructions(site.call("/post/x"))).isEmpty();
    }

    @Test
    void upstreamsAbsentFromANewReadAreRemoved() {
        site.readStore(SiteFixture.table(2, 1_000_000), List.of());
        site.advanceClock(Duration.ofSeconds(2));
        site.changeStore();

        assertThat(site.board().serving().registry().upstreams()).isEmpty();
    }
}
