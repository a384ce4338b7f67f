package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.StoreRevision;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what a relay answers, and what an instance concludes from an answer. */
class RelayControllerTest {
    private static final Member FOLLOWER = SiteFixture.member("i7");
    private static final int INSTANCES = 24;

    private final SiteFixture site = new SiteFixture(SiteFixture.member("i0"), true, 1000);

    RelayControllerTest() {
        site.readStore(SiteFixture.table(1, 1_000_000), SiteFixture.upstreams());
        site.changeStore(SiteFixture.presentInstances("i", INSTANCES));
    }

    @Test
    void queryIsAnsweredOnlyByAConfirmationThatWasRequestedAfterItArrived() {
        final Instant before = site.now();
        site.advanceClock(Duration.ofMillis(1));
        receive(FOLLOWER, new PeerMessage.StoreQuery(3, new StoreRevision(0, 101)));

        site.step(new Event.TableConfirmed(Optional.empty(), new StoreRevision(0, 1), before));
        assertThat(updates()).isEmpty();

        site.step(new Event.TableConfirmed(Optional.empty(), new StoreRevision(0, 1), site.now()));
        assertThat(updates()).singleElement().satisfies(update -> {
            assertThat(update.number()).isEqualTo(3);
            assertThat(update.tableRevision()).isEqualTo(new StoreRevision(0, 1));
        });
    }

    @Test
    void answerContainsTheChangesSinceTheRevisionInTheQuery() {
        final RegisteredUpstream leaving =
                SiteFixture.draining(SiteFixture.upstreams().getFirst());
        site.step(new Event.StoreChanged(
                List.of(new StoreChange.UpstreamRegistered(leaving)), new StoreRevision(0, 105)));
        receive(FOLLOWER, new PeerMessage.StoreQuery(1, new StoreRevision(0, 102)));

        site.step(new Event.TableConfirmed(Optional.empty(), new StoreRevision(0, 1), site.now()));

        assertThat(updates()).singleElement().satisfies(update -> {
            assertThat(update.complete()).isTrue();
            assertThat(update.revision()).isEqualTo(new StoreRevision(0, 105));
            assertThat(update.changes()).containsExactly(new StoreChange.UpstreamRegistered(leaving));
        });
    }

    @Test
    void instanceThatIsTooFarBehindReadsTheStore() {
        receive(FOLLOWER, new PeerMessage.StoreQuery(1, new StoreRevision(0, 50)));
        site.step(new Event.TableConfirmed(Optional.empty(), new StoreRevision(0, 1), site.now()));
        assertThat(updates()).singleElement().satisfies(update -> assertThat(update.complete())
                .isFalse());

        receiveAnswer(1, 120, false);
        assertThat(site.effects()).contains(new Effect.ReadStore());
    }

    @Test
    void answerConfirmsTheTableFromWhenTheQueryWasSent() {
        final Instant sentAt = sendQuery();
        site.advanceClock(Duration.ofMillis(700));

        receiveAnswer(1, 120, true);

        assertThat(site.board().serving().routing().confirmedAt()).contains(sentAt);
    }

    @Test
    void newerTableIsFetchedFromTheStore() {
        sendQuery();

        receiveAnswer(2, 120, true);

        assertThat(site.effects()).contains(new Effect.ConfirmTable(new StoreRevision(0, 1)));
    }

    @Test
    void answerToAQueryFromBeforeASuspensionConfirmsNothing() {
        sendQuery();
        final Optional<Instant> before = site.board().serving().routing().confirmedAt();
        final long number = site.board().serving().relay().query().number();
        site.step(new Event.ClockJumped(Duration.ofSeconds(4)));

        receive(
                FOLLOWER,
                new PeerMessage.StoreUpdate(
                        number, new StoreRevision(0, 1), new StoreRevision(0, 120), true, List.of()));

        assertThat(before).isPresent();
        assertThat(site.board().serving().routing().confirmedAt()).isEmpty();
    }

    @Test
    void answerToAnEarlierProcessOfThisInstanceConfirmsNothing() {
        sendQuery();
        final long earlier = site.board().serving().relay().query().number();
        final SiteFixture restarted = new SiteFixture(SiteFixture.member("i0", 2), true, 1000);
        restarted.readStore(SiteFixture.table(1, 1_000_000), SiteFixture.upstreams());
        restarted.changeStore(SiteFixture.presentInstances("i", INSTANCES));
        final Optional<Instant> readAt = restarted.board().serving().routing().confirmedAt();
        restarted.advanceClock(Duration.ofSeconds(4));
        restarted.step(new Event.TimerFired(new TimerKey.RelayTick()));

        restarted.step(new Event.PeerMessageReceived(
                FOLLOWER.incarnation(),
                new PeerMessage.StoreUpdate(
                        earlier, new StoreRevision(0, 1), new StoreRevision(0, 120), true, List.of())));

        assertThat(restarted.board().serving().routing().confirmedAt()).isEqualTo(readAt);
    }

    @Test
    void relayReportsAnUpstreamThatDisappearsAlone() {
        receive(FOLLOWER, new PeerMessage.StoreQuery(1, new StoreRevision(0, 101)));
        site.changeStore(new StoreChange.UpstreamUnregistered(
                SiteFixture.upstreams().getFirst().name()));

        assertThat(departures()).hasSize(INSTANCES - 1);
    }

    /** Instances that heard of lapsed entries early would drop them before they hear that these are back. */
    @Test
    void relayReportsNoEntriesThatLapseWithTheStore() {
        receive(FOLLOWER, new PeerMessage.StoreQuery(1, new StoreRevision(0, 101)));
        site.changeStore(SiteFixture.upstreams().stream()
                .map(upstream -> new StoreChange.UpstreamUnregistered(upstream.name()))
                .toArray(StoreChange[]::new));

        assertThat(departures()).isEmpty();
    }

    @Test
    void ownReportInADigestIsNotCounted() {
        receive(
                FOLLOWER,
                new PeerMessage.LoadDigest(Map.of(
                        site.board().identity().incarnation(),
                                new PeerMessage.SiteLoad(Map.of(), Map.of(), Map.of(), Set.of()),
                        SiteFixture.member("i9").incarnation(),
                                new PeerMessage.SiteLoad(Map.of(), Map.of(), Map.of(), Set.of()))));

        assertThat(site.board().serving().loads().peers())
                .containsOnlyKeys(SiteFixture.member("i9").name());
    }

    /** Lets the time come at which this instance, which does not rank first, sends its query. */
    private Instant sendQuery() {
        site.advanceClock(Duration.ofSeconds(4));
        site.step(new Event.TimerFired(new TimerKey.RelayTick()));
        assertThat(site.effects())
                .anyMatch(effect -> effect instanceof Effect.SendToPeer(var receiver, PeerMessage.StoreQuery query));
        return site.now();
    }

    private void receiveAnswer(final long tableRevision, final long revision, final boolean complete) {
        if (site.board().serving().relay().query().answered()) {
            sendQuery();
        }
        final long number = site.board().serving().relay().query().number();
        receive(
                FOLLOWER,
                new PeerMessage.StoreUpdate(
                        number,
                        new StoreRevision(0, tableRevision),
                        new StoreRevision(0, revision),
                        complete,
                        List.of()));
    }

    private void receive(final Member sender, final PeerMessage message) {
        site.step(new Event.PeerMessageReceived(sender.incarnation(), message));
    }

    private List<Effect> departures() {
        return site.effects().stream()
                .filter(effect ->
                        effect instanceof Effect.SendToPeer(var receiver, PeerMessage.UpstreamDepartures departures))
                .toList();
    }

    private List<PeerMessage.StoreUpdate> updates() {
        return site.effects().stream()
                .filter(Effect.SendToPeer.class::isInstance)
                .map(effect -> ((Effect.SendToPeer) effect).message())
                .filter(PeerMessage.StoreUpdate.class::isInstance)
                .map(PeerMessage.StoreUpdate.class::cast)
                .toList();
    }
}
