package org.lacewingstep.controller;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.StoreRevision;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a store whose era is missing, invalid or lower, and which is taken for a newer state. */
class StoreControllerTest {
    private final SiteFixture site = new SiteFixture(true);

    @Test
    void eraOnlyRises() {
        observe("3");
        observe("5");
        observe("4");
        observe("");
        observe("x");

        assertThat(site.board().serving().store().era()).isEqualTo(5);
    }

    @Test
    void everyChangeOfTheHeaderIsLogged() {
        assertThat(logOf("3")).isEqualTo("era first seen");
        assertThat(logOf("5")).isEqualTo("came back from a copy");
        assertThat(logOf("4")).isEqualTo("names no era or an earlier one, not trusted");
        assertThat(logOf("")).isEqualTo("names no era or an earlier one, not trusted");
        assertThat(logOf("x")).isEqualTo("names no era or an earlier one, not trusted");
    }

    @Test
    void responseOfAnEarlierEraIsRequestedAgainAndChangesNothing() {
        observe("1");
        final StoreRevision present = new StoreRevision(1, 50);
        site.step(new Event.StoreRead(
                List.of(new StoreChange.TableWritten(SiteFixture.table(8, 1000), present)), present, site.now()));
        final Blackboard before = site.board();
        final StoreRevision earlier = new StoreRevision(0, 900);
        final StoreChange table = new StoreChange.TableWritten(SiteFixture.table(9, 1000), earlier);

        site.step(new Event.StoreRead(List.of(table), earlier, site.now()));
        site.step(new Event.StoreChanged(List.of(table), earlier));
        site.step(new Event.TableConfirmed(Optional.of(SiteFixture.table(9, 1000)), earlier, site.now()));

        assertThat(site.board().serving().routing()).isEqualTo(before.serving().routing());
        assertThat(site.board().serving().registry()).isEqualTo(before.serving().registry());
        assertThat(site.effects().stream().filter(Effect.StartTimer.class::isInstance))
                .extracting(effect -> ((Effect.StartTimer) effect).key())
                .contains(new TimerKey.StoreWatch(), new TimerKey.TableConfirmation());
    }

    @Test
    void leaseOfAnEarlierEraIsNotRenewed() {
        observe("1");
        site.step(new Event.PresenceRenewalEnded(true, 7));
        site.effects().clear();

        observe("2");

        assertThat(site.effects())
                .filteredOn(Effect.RenewPresence.class::isInstance)
                .extracting(effect -> ((Effect.RenewPresence) effect).lease())
                .containsExactly(0L);
    }

    private void observe(final String header) {
        final Optional<Long> era = header.matches("[0-9]+") ? Optional.of(Long.valueOf(header)) : Optional.empty();
        site.step(new Event.StoreEraObserved(era, header));
    }

    private String logOf(final String header) {
        site.effects().clear();
        observe(header);
        return site.effects().stream()
                .filter(Effect.Log.class::isInstance)
                .map(effect -> ((Effect.Log) effect).decision())
                .filter(decision -> decision.step().equals("store"))
                .findFirst()
                .orElseThrow()
                .outcome();
    }
}
