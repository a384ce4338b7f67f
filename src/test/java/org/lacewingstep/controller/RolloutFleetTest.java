package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.controller.RolloutFleet.Response;
import org.lacewingstep.controller.RolloutFleet.Sent;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RolloutPlan.Stage;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.VersionName;
import org.lacewingstep.traffic.StateDump;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests rollouts over many instances: exposure, evidence, result, and what happens when parts fail halfway. */
class RolloutFleetTest {
    private static final Duration LIMIT = Duration.ofSeconds(15);
    private static final int MAX_BAD = 50;

    private RolloutFleet fleet = new RolloutFleet(6, 60, 1);
    private Instant orderedAt;

    private void start() {
        fleet.run(Duration.ofSeconds(2));
        orderedAt = fleet.now();
        fleet.order(RolloutFleet.NEW, LIMIT);
        fleet.startUpstreams(RolloutFleet.NEW, "new-");
    }

    @ParameterizedTest
    @CsvSource({"1,6,60", "2,6,60", "3,20,60", "4,20,200", "5,40,30"})
    void goodVersionSucceedsInTimeAndNoCallIsLeftAtTheOthers(
            final long seed, final int instances, final double perSecond) {
        fleet = new RolloutFleet(instances, perSecond, seed);
        start();
        while (!fleet.stages().contains(Stage.SUCCEEDED) && fleet.now().isBefore(orderedAt.plus(LIMIT))) {
            fleet.run(Duration.ofMillis(100));
        }

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.SHIFTING, Stage.SUCCEEDED);
        final Instant succeededAt = fleet.now();
        fleet.run(Duration.ofSeconds(3));
        assertThat(fleet.sent())
                .noneMatch(sent -> !sent.isExposed()
                        && sent.at().plus(sent.response().time()).isAfter(succeededAt));
    }

    @ParameterizedTest
    @CsvSource({"1,6,60,0.4", "2,6,60,0.3", "3,20,60,0.4", "4,20,200,0.3", "5,40,60,0.5", "6,6,200,1"})
    void versionThatFailsIsRolledBackWithinItsExposure(
            final long seed, final int instances, final double perSecond, final double failing) {
        fleet = new RolloutFleet(instances, perSecond, seed);
        fleet.respond((upstream, path, at) -> fails(upstream.version(), failing) ? Response.FAILED : Response.GOOD);
        start();
        fleet.run(LIMIT);

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.ROLLED_BACK);
        assertExposureWithinBounds(Set.of());
    }

    @Test
    void versionThatFailsLaterIsRolledBack() {
        start();
        fleet.respond((upstream, path, at) -> at.isAfter(orderedAt.plusSeconds(5)) && fails(upstream.version(), 0.5)
                ? Response.FAILED
                : Response.GOOD);
        fleet.run(LIMIT);

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.ROLLED_BACK);
        assertExposureWithinBounds(Set.of());
    }

    @Test
    void slowVersionIsRolledBack() {
        fleet.respond((upstream, path, at) -> fails(upstream.version(), 0.5) ? Response.SLOW : Response.GOOD);
        start();
        fleet.run(LIMIT);

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.ROLLED_BACK);
        assertExposureWithinBounds(Set.of());
    }

    @Test
    void versionThatDoesNotRespondIsRolledBack() {
        fleet.respond((upstream, path, at) -> fails(upstream.version(), 0.4) ? Response.NONE : Response.GOOD);
        start();
        fleet.run(LIMIT);

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.ROLLED_BACK);
        assertExposureWithinBounds(Set.of());
    }

    @Test
    void failuresOfAllVersionsAtOnceDoNotCondemnTheNewOne() {
        start();
        fleet.respond((upstream, path, at) -> at.isAfter(orderedAt.plusSeconds(4))
                        && at.isBefore(orderedAt.plusSeconds(7))
                        && fleet.random().nextDouble() < 0.3
                ? Response.FAILED
                : Response.GOOD);
        fleet.run(LIMIT);

        assertThat(fleet.stages()).endsWith(Stage.SUCCEEDED);
    }

    @Test
    void versionThatFailsOnOneRouteIsRolledBack() {
        fleet.respond((upstream, path, at) ->
                path.startsWith("/read") && fails(upstream.version(), 0.6) ? Response.FAILED : Response.GOOD);
        start();
        fleet.run(LIMIT);

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.ROLLED_BACK);
        assertExposureWithinBounds(Set.of());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void oneBadUpstreamDoesNotCondemnItsVersion(final long seed) {
        fleet = new RolloutFleet(6, 60, seed);
        final Set<UpstreamName> bad = new HashSet<>();
        fleet.respond((upstream, path, at) -> {
            if (upstream.version().equals(RolloutFleet.NEW) && bad.isEmpty()) {
                bad.add(upstream.name());
            }
            return bad.contains(upstream.name()) && fleet.random().nextBoolean() ? Response.FAILED : Response.GOOD;
        });
        start();
        fleet.run(LIMIT);

        assertThat(fleet.stages()).endsWith(Stage.SUCCEEDED);
    }

    @Test
    void instanceWithoutNewsSendsNothingToTheVersion() {
        start();
        fleet.run(Duration.ofSeconds(3));
        fleet.cut(2, LIMIT);
        final Instant cutAt = fleet.now();
        fleet.run(Duration.ofSeconds(6));

        assertThat(fleet.sent())
                .noneMatch(sent -> sent.instance() == 2
                        && sent.isExposed()
                        && sent.at().isAfter(cutAt.plus(RolloutFleet.BOUNDS.stopLimit())));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void instancesThatCannotReachTheStoreLeaveTheResultToOthers(final long seed) {
        fleet = new RolloutFleet(6, 60, seed);
        fleet.respond((upstream, path, at) -> fails(upstream.version(), 0.4) ? Response.FAILED : Response.GOOD);
        start();
        fleet.run(Duration.ofSeconds(1));
        fleet.cutFromStore(0);
        fleet.cut(1, LIMIT);
        fleet.run(LIMIT.minusSeconds(1));

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.ROLLED_BACK);
        assertThat(fleet.plans().getLast().author().value()).isNotIn("i0", "i1");
        assertExposureWithinBounds(Set.of(1));
    }

    @Test
    void resultWhoseResponseWasLostIsReadBackAndWrittenOnce() {
        fleet.loseResponses(1);
        start();
        fleet.run(LIMIT);

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.SHIFTING, Stage.SUCCEEDED);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void lostReportsLeaveTheExposureInBounds(final long seed) {
        fleet = new RolloutFleet(12, 100, seed);
        fleet.loseMessages(0.3);
        fleet.respond((upstream, path, at) -> fails(upstream.version(), 0.3) ? Response.FAILED : Response.GOOD);
        start();
        fleet.run(LIMIT);

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.ROLLED_BACK);
        assertExposureWithinBounds(Set.of());
    }

    @ParameterizedTest
    @CsvSource({"1,0", "2,0.4"})
    void rolloutEndsAfterAllProcessesWereKilled(final long seed, final double failing) {
        fleet = new RolloutFleet(6, 60, seed);
        fleet.respond((upstream, path, at) -> fails(upstream.version(), failing) ? Response.FAILED : Response.GOOD);
        start();
        fleet.run(Duration.ofSeconds(2));
        for (int i = 0; i < 6; i++) {
            fleet.restart(i);
        }
        fleet.run(LIMIT.minusSeconds(2));

        assertThat(fleet.stages()).endsWith(failing == 0 ? Stage.SUCCEEDED : Stage.ROLLED_BACK);
        if (failing > 0) {
            assertExposureWithinBounds(Set.of());
        }
    }

    @Test
    void rolloutEndsAfterTheStoreWasAway() {
        start();
        fleet.run(Duration.ofSeconds(3));
        for (int i = 0; i < 6; i++) {
            fleet.cutFromStore(i);
        }
        fleet.run(Duration.ofSeconds(4));
        fleet.healStore();
        fleet.run(Duration.ofSeconds(8));

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.SHIFTING, Stage.SUCCEEDED);
    }

    @Test
    void versionThatHasRunNothingIsRolledBack() {
        fleet.respond(
                (upstream, path, at) -> upstream.version().equals(RolloutFleet.NEW) ? Response.NOT_RUN : Response.GOOD);
        start();
        fleet.run(LIMIT);

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.ROLLED_BACK);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void rolloutEndsInTimeAfterAllProcessesWereKilledLate(final long seed) {
        fleet = new RolloutFleet(6, 60, seed);
        start();
        fleet.run(Duration.ofSeconds(8));
        for (int i = 0; i < 6; i++) {
            fleet.restart(i);
        }
        fleet.run(LIMIT.minusSeconds(8));

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.SHIFTING, Stage.SUCCEEDED);
    }

    @Test
    void orderHasItsWholeTimeWhenTheResultOfAnOlderOneArrivesLater() {
        fleet.respond(
                (upstream, path, at) -> upstream.version().equals(RolloutFleet.NEW) ? Response.FAILED : Response.GOOD);
        start();
        fleet.run(LIMIT);
        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.ROLLED_BACK);
        final VersionName third = new VersionName("v3");
        fleet.order(third, LIMIT);
        fleet.startUpstreams(third, "third-");
        fleet.writeResultAgain();
        fleet.run(LIMIT);

        assertThat(fleet.stages()).endsWith(Stage.PROBING, Stage.SHIFTING, Stage.SUCCEEDED);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void momentWithoutTheOthersMovesNothingToTheVersion(final boolean restarted) {
        start();
        fleet.run(Duration.ofMillis(1500));
        final List<RegisteredUpstream> lost = fleet.loseUpstreams(RolloutFleet.OLD);
        fleet.run(Duration.ofMillis(200));
        if (restarted) {
            for (int i = 0; i < 6; i++) {
                fleet.restart(i);
            }
        }
        fleet.run(Duration.ofMillis(800));
        fleet.register(lost);
        fleet.run(Duration.ofSeconds(2));

        assertThat(fleet.stages()).containsExactly(Stage.PROBING);
        assertExposureWithinBounds(Set.of());
    }

    @Test
    void versionThatIsLeftAloneReceivesAllRequestsOnceItIsKnownToBeGood() {
        start();
        fleet.run(Duration.ofSeconds(2));
        fleet.loseUpstreams(RolloutFleet.OLD);
        fleet.run(Duration.ofSeconds(6));

        assertThat(fleet.stages()).startsWith(Stage.PROBING, Stage.SHIFTING);
    }

    @Test
    void withdrawnOrderIsRolledBack() {
        start();
        fleet.run(Duration.ofSeconds(4));
        fleet.write(new StoreChange.RolloutWithdrawn(SiteFixture.LEDGER));
        fleet.run(Duration.ofSeconds(2));
        final Instant rolledBackAt = fleet.now();
        fleet.run(LIMIT);

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.ROLLED_BACK);
        assertThat(fleet.sent()).noneMatch(sent -> sent.isExposed() && sent.at().isAfter(rolledBackAt));
    }

    @Test
    void secondOrderReplacesTheFirst() {
        start();
        fleet.run(Duration.ofSeconds(4));
        final VersionName third = new VersionName("v3");
        fleet.order(third, LIMIT);
        fleet.startUpstreams(third, "third-");
        fleet.run(LIMIT);

        assertThat(fleet.stages()).endsWith(Stage.PROBING, Stage.SHIFTING, Stage.SUCCEEDED);
        assertThat(fleet.plans().getLast().target()).isEqualTo(third);
    }

    @Test
    void orderThatIsWrittenAgainAfterItsSuccessChangesNothing() {
        start();
        fleet.run(LIMIT);
        fleet.order(RolloutFleet.NEW, LIMIT);
        fleet.run(Duration.ofSeconds(5));

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.SHIFTING, Stage.SUCCEEDED);
    }

    @Test
    void targetThatNoUpstreamHasIsRolledBackInTime() {
        fleet.run(Duration.ofSeconds(2));
        fleet.order(RolloutFleet.NEW, LIMIT);
        fleet.run(LIMIT);

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.ROLLED_BACK);
    }

    @Test
    void operatorsReadTheRolloutInTheStateOfAnInstance() throws Exception {
        start();
        fleet.run(Duration.ofSeconds(5));

        final JsonNode rollout = new ObjectMapper()
                .readTree(StateDump.of(fleet.sites().getFirst().board()))
                .path("serving")
                .path("rollouts")
                .path("rollouts")
                .path(SiteFixture.LEDGER.value());
        assertThat(rollout.path("plan").path("stage").asText()).isEqualTo("PROBING");
        assertThat(rollout.path("view").path("share").asDouble()).isPositive();
        assertThat(rollout.path("view").path("tally").path("exposed").asLong()).isPositive();
        assertThat(rollout.path("view").path("judgement").path("scores").size()).isPositive();
    }

    @Test
    void versionWithoutAnOrderServesOnlyWhenTheOthersAreGone() {
        fleet.run(Duration.ofSeconds(2));
        fleet.startUpstreams(RolloutFleet.NEW, "new-");
        fleet.run(Duration.ofSeconds(3));
        assertThat(fleet.sent()).noneMatch(Sent::isExposed);

        for (int i = 0; i < 8; i++) {
            fleet.write(new StoreChange.UpstreamUnregistered(new UpstreamName("old-" + i)));
        }
        fleet.run(Duration.ofSeconds(3));
        assertThat(fleet.sent().getLast().isExposed()).isTrue();
        assertThat(fleet.plans()).isEmpty();
    }

    private boolean fails(final VersionName version, final double share) {
        return version.equals(RolloutFleet.NEW) && fleet.random().nextDouble() < share;
    }

    /** Checks the share of the requests, and that nothing follows the fiftieth bad response for longer than allowed. */
    private void assertExposureWithinBounds(final Set<Integer> outOfTouch) {
        final List<Sent> sent = fleet.sent().stream()
                .filter(one -> one.at().isAfter(orderedAt)
                        && !one.at().isAfter(orderedAt.plus(LIMIT))
                        && !outOfTouch.contains(one.instance()))
                .toList();
        final List<Sent> exposed = sent.stream().filter(Sent::isExposed).toList();
        assertThat((double) exposed.size())
                .isGreaterThan(0)
                .isLessThanOrEqualTo(RolloutFleet.BOUNDS.share() * sent.size() + RolloutFleet.BOUNDS.slack());
        final List<Sent> bad = exposed.stream()
                .filter(one -> !one.response().equals(Response.GOOD))
                .toList();
        if (bad.size() >= MAX_BAD) {
            final Instant limit = bad.get(MAX_BAD - 1).at().plus(RolloutFleet.BOUNDS.stopLimit());
            assertThat(exposed).noneMatch(one -> one.at().isAfter(limit));
        }
    }
}
