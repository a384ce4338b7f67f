package org.lacewingstep.controller;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.AllowanceChange;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.StoreRevision;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against memory that others see reserved early and given back late, so that free upstreams seem full. */
class EarlyReportTest {
    private static final int INSTANCES = 80;

    private final SiteFixture site = SiteFixture.serving();

    @Test
    void earlyReportOfSpendingRepeatsTheLastUses() {
        site.changeStore(new StoreChange.TableWritten(SiteFixture.table(2, 100_000), new StoreRevision(0, 2)));
        for (int i = 0; i < INSTANCES; i++) {
            site.changeStore(new StoreChange.InstanceRegistered(SiteFixture.member("c" + i)));
        }
        site.step(new Event.TimerFired(new TimerKey.LoadBroadcast()));
        site.call("/post/x");
        site.step(new Event.AllowanceChanged(new AllowanceChange.Spent(SiteFixture.TEAM, 100_000)));
        assertThat(site.board().serving().loads().loads()).isNotEmpty();
        site.effects().clear();

        site.advanceClock(Duration.ofMillis(50));
        site.step(new Event.TimerFired(new TimerKey.LoadBroadcast()));
        final PeerMessage.SiteLoad early = lastReport();
        site.advanceClock(Duration.ofMillis(450));
        site.step(new Event.TimerFired(new TimerKey.LoadBroadcast()));

        assertThat(early.spent()).containsKey(SiteFixture.TEAM);
        assertThat(early.uses()).isEmpty();
        assertThat(lastReport().uses()).isNotEmpty();
    }

    private PeerMessage.SiteLoad lastReport() {
        return site.effects().stream()
                .filter(Effect.SendToPeer.class::isInstance)
                .map(effect -> (PeerMessage.SiteLoad) ((Effect.SendToPeer) effect).message())
                .reduce((first, second) -> second)
                .orElseThrow();
    }
}
