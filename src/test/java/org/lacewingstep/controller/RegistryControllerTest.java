package org.lacewingstep.controller;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how the registry of upstreams is followed. */
class RegistryControllerTest {
    private final SiteFixture site = SiteFixture.serving();

    @Test
    void aLostHistoryIsReadAgain() {
        site.effects().clear();

        site.step(new Event.StoreFeedBroken(true, "gone"));

        assertThat(site.effects()).contains(new Effect.ReadStore());
    }

    @Test
    void aBrokenFeedGoesOnWhereItStopped() {
        site.step(new Event.StoreFeedBroken(false, "reset"));
        site.effects().clear();

        site.step(new Event.TimerFired(new TimerKey.StoreFeed()));

        assertThat(site.effects()).contains(new Effect.AwaitStoreChanges(100, RegistryController.CHANGE_WAIT));
    }

    @Test
    void anUpstreamThatWentMissingServesUntilTheStoreHadTimeToSeeItAgain() {
        SiteFixture.upstreams().forEach(upstream -> site.change(new StoreChange.UpstreamMissing(upstream.name())));
        assertThat(site.last(site.call("/post/x"))).isInstanceOf(Send.class);

        site.pass(Duration.ofSeconds(2));
        site.prove();

        assertThat(site.instructions(site.call("/post/x"))).isEmpty();
    }

    @Test
    void anUpstreamThatIsThereGoesBeforeOneThatWentMissing() {
        site.change(new StoreChange.UpstreamMissing(
                SiteFixture.upstreams().getFirst().name()));

        for (int i = 0; i < 10; i++) {
            assertThat(site.send(site.call("/post/x")).upstream().name().value())
                    .isEqualTo("ledger-2");
        }
    }

    @Test
    void upstreamsThatANewReadingDoesNotNameAreGone() {
        site.read(SiteFixture.table(2, 1_000_000), List.of());
        site.pass(Duration.ofSeconds(2));
        site.change();

        assertThat(site.board().serving().registry().upstreams()).isEmpty();
    }
}
