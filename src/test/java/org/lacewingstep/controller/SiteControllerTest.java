package org.lacewingstep.controller;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how an instance acquires and renews the lease of its presence entry and counts the other instances. */
class SiteControllerTest {
    private final SiteFixture site = SiteFixture.serving();

    @Test
    void leaseIsRequestedOnceAtTheStart() {
        assertThat(renewedLeases()).containsExactly(0L);
    }

    @Test
    void leaseIsRenewedWhenTheTimerFires() {
        site.step(new Event.PresenceRenewalEnded(true, 7));
        site.effects().clear();

        site.step(new Event.TimerFired(new TimerKey.Presence()));

        assertThat(renewedLeases()).containsExactly(7L);
    }

    @Test
    void renewalIsRetriedAfterADelayIfItFails() {
        site.effects().clear();

        site.step(new Event.PresenceRenewalEnded(false, 0));

        assertThat(renewedLeases()).isEmpty();
        assertThat(site.effects())
                .contains(new Effect.StartTimer(
                        new TimerKey.Presence(), site.now().plusSeconds(1)));
    }

    @Test
    void newLeaseIsRequestedAfterTheOldOneLapsed() {
        site.step(new Event.PresenceRenewalEnded(true, 7));
        site.step(new Event.PresenceRenewalEnded(false, 0));
        site.effects().clear();

        site.advanceClock(Duration.ofSeconds(1));
        site.step(new Event.TimerFired(new TimerKey.Presence()));

        assertThat(renewedLeases()).containsExactly(0L);
    }

    /** A write that the store applies late puts the entry under a lease that nobody renews. */
    @Test
    void entryThatEndedWithAnotherLeaseIsWrittenAnew() {
        site.changeStore(new StoreChange.InstanceRegistered(SiteFixture.member("a")));
        site.step(new Event.PresenceRenewalEnded(true, 7));
        site.changeStore(
                new StoreChange.InstanceUnregistered(SiteFixture.member("a").name()));
        site.effects().clear();

        site.step(new Event.TimerFired(new TimerKey.Presence()));
        assertThat(renewedLeases()).containsExactly(0L);

        site.step(new Event.PresenceRenewalEnded(true, 8));
        site.changeStore(new StoreChange.InstanceRegistered(SiteFixture.member("a")));
        site.effects().clear();
        site.step(new Event.TimerFired(new TimerKey.Presence()));
        assertThat(renewedLeases()).containsExactly(8L);
    }

    @Test
    void missingInstancesAreNotCounted() {
        site.changeStore(
                new StoreChange.InstanceRegistered(SiteFixture.member("a")),
                new StoreChange.InstanceRegistered(SiteFixture.member("b")));
        assertThat(site.board().serving().site().instances()).isEqualTo(2);

        site.changeStore(
                new StoreChange.InstanceUnregistered(SiteFixture.member("b").name()));

        assertThat(site.board().serving().site().instances()).isEqualTo(1);
        assertThat(site.board().serving().site().others()).isEmpty();
    }

    private List<Long> renewedLeases() {
        return site.effects().stream()
                .filter(Effect.RenewPresence.class::isInstance)
                .map(effect -> ((Effect.RenewPresence) effect).lease())
                .toList();
    }
}
