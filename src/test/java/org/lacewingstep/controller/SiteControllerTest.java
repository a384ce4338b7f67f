package org.lacewingstep.controller;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how an instance keeps itself present. */
class SiteControllerTest {
    private final SiteFixture site = SiteFixture.serving();

    @Test
    void aLeaseIsTakenOnceAtTheStart() {
        assertThat(renewals()).containsExactly(0L);
    }

    @Test
    void theLeaseIsRenewedAtAnInterval() {
        site.step(new Event.PresenceRenewed(7));
        site.effects().clear();

        site.step(new Event.TimerFired(new TimerKey.Presence()));

        assertThat(renewals()).containsExactly(7L);
    }

    @Test
    void aStoreThatRefusesIsNotAskedAgainAtOnce() {
        site.effects().clear();

        site.step(new Event.PresenceUnrenewed(false));

        assertThat(renewals()).isEmpty();
        assertThat(site.effects())
                .contains(new Effect.StartTimer(
                        new TimerKey.Presence(), site.now().plusSeconds(1)));
    }

    @Test
    void aNewLeaseIsTakenForOneThatLapsed() {
        site.step(new Event.PresenceRenewed(7));
        site.step(new Event.PresenceUnrenewed(true));
        site.effects().clear();

        site.pass(Duration.ofSeconds(1));
        site.step(new Event.TimerFired(new TimerKey.Presence()));

        assertThat(renewals()).containsExactly(0L);
    }

    @Test
    void instancesThatAreGoneAreNotCounted() {
        site.change(
                new StoreChange.InstancePresent(SiteFixture.member("a")),
                new StoreChange.InstancePresent(SiteFixture.member("b")));
        assertThat(site.board().serving().site().instances()).isEqualTo(2);

        site.change(new StoreChange.InstanceMissing(SiteFixture.member("b").name()));

        assertThat(site.board().serving().site().instances()).isEqualTo(1);
        assertThat(site.board().serving().site().others()).isEmpty();
    }

    private List<Long> renewals() {
        return site.effects().stream()
                .filter(Effect.RenewPresence.class::isInstance)
                .map(effect -> ((Effect.RenewPresence) effect).lease())
                .toList();
    }
}
