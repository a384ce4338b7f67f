package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingstep.blackboard.ServingBoard;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.TeamName;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against states of the store from before a copy that outlive its restoration, at many instances. */
class RestoredStoreFleetTest {
    private static final KeyDigest ADDED = KeyDigest.of("added");
    private static final KeyDigest KEPT = KeyDigest.of("kept");
    private static final KeyDigest WITHDRAWN = SiteFixture.KEY;
    private static final Duration WITHDRAWAL_LIMIT = Duration.ofSeconds(5);

    /** Time after the store's return within which valid keys are served again. */
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(2);

    private static final Duration OUTAGE = Duration.ofSeconds(1);
    private static final int LOST_WRITES = 60;
    private static final int DOMAINS = 3;
    private static final Duration STEP = Duration.ofMillis(100);

    private static Stream<Arguments> sizesAndSeeds() {
        return Stream.of(6, 9, 58, 95)
                .flatMap(instances -> LongStream.rangeClosed(1, 5).mapToObj(seed -> Arguments.of(instances, seed)));
    }

    @ParameterizedTest
    @MethodSource("sizesAndSeeds")
    void withdrawnKeyDiesAndOthersLiveAfterSeveralRestorations(final int instances, final long seed) {
        final Random random = new Random(seed);
        final RelayFleet fleet = new RelayFleet(instances, DOMAINS, random);
        fleet.run(Duration.ofSeconds(5));
        FleetStore.Copy copy = fleet.store().copy();
        fleet.store().advance(LOST_WRITES);
        write(fleet, 8, WITHDRAWN, KEPT);
        fleet.run(Duration.ofSeconds(3));
        final int restorations = 1 + random.nextInt(3);
        long known = fleet.store().tableRevision().number();
        for (int i = 0; i < restorations; i++) {
            known = fleet.store().tableRevision().number();
            restore(fleet, copy);
            fleet.run(Duration.ofMillis(random.nextInt(1000)));
            write(fleet, 8, WITHDRAWN, KEPT);
            copy = fleet.store().copy();
            fleet.run(Duration.ofMillis(random.nextInt(1000)));
        }
        if (random.nextBoolean()) {
            fleet.store().advance(known - fleet.store().revision().number() - 1);
        }

        write(fleet, 9, KEPT, ADDED);
        assertWithdrawnAndServed(fleet, true);
    }

    @ParameterizedTest
    @MethodSource("sizesAndSeeds")
    void withdrawnKeyDiesBesideFaultsOfInstances(final int instances, final long seed) {
        final Random random = new Random(seed);
        final RelayFleet fleet = new RelayFleet(instances, DOMAINS, random);
        fleet.run(Duration.ofSeconds(5));
        final FleetStore.Copy copy = fleet.store().copy();
        fleet.store().advance(LOST_WRITES);
        write(fleet, 8, WITHDRAWN, KEPT);
        for (int i = 0; i < 4; i++) {
            fleet.injectFault(random);
            fleet.run(Duration.ofMillis(random.nextInt(300)));
        }
        final long known = fleet.store().tableRevision().number();
        restore(fleet, copy);
        for (int i = 0; i < 4; i++) {
            fleet.injectFault(random);
            fleet.restart(random.nextInt(instances));
        }
        fleet.run(Duration.ofMillis(random.nextInt(1000)));
        write(fleet, 8, WITHDRAWN, KEPT);
        fleet.store().advance(known - fleet.store().revision().number() - 1);

        write(fleet, 9, KEPT, ADDED);
        assertWithdrawnAndServed(fleet, false);
    }

    /** The store confirms the table of the copy; the instances that asked are cut off before they learn the next. */
    @ParameterizedTest
    @MethodSource("sizesAndSeeds")
    void tableOfTheCopyIsNotConfirmedBeforeTheOperatorsWriteTheNextAgain(final int instances, final long seed) {
        final Random random = new Random(seed);
        final RelayFleet fleet = new RelayFleet(instances, DOMAINS, random);
        write(fleet, 8, WITHDRAWN, KEPT);
        fleet.run(Duration.ofSeconds(5));
        final FleetStore.Copy copy = fleet.store().copy();
        fleet.loseStore(OUTAGE);
        write(fleet, 9, KEPT, ADDED);
        final Instant withdrawnAt = fleet.now();
        fleet.run(OUTAGE);
        fleet.store().restore(copy);
        fleet.run(Duration.ofMillis(1200));
        for (int i = 0; i < instances; i++) {
            fleet.cut(i, Duration.ofSeconds(5));
        }
        write(fleet, 9, KEPT, ADDED);

        while (fleet.now().isBefore(withdrawnAt.plusSeconds(12))) {
            fleet.run(STEP);
            if (!fleet.now().isBefore(withdrawnAt.plus(WITHDRAWAL_LIMIT))) {
                assertThat(fleet.sites()).noneMatch(site -> site.admits("/read/x", WITHDRAWN));
            }
        }
        assertThat(fleet.sites()).allMatch(site -> site.admits("/read/x", KEPT));
    }

    @ParameterizedTest
    @MethodSource("sizesAndSeeds")
    void copyTakesNoInstanceBack(final int instances, final long seed) {
        final RelayFleet fleet = new RelayFleet(instances, DOMAINS, new Random(seed));
        fleet.run(Duration.ofSeconds(5));
        final FleetStore.Copy copy = fleet.store().copy();
        final RegisteredUpstream leaving =
                SiteFixture.draining(SiteFixture.upstreams().getFirst());
        final RegisteredUpstream started = SiteFixture.upstream(
                "ledger-9",
                SiteFixture.LEDGER,
                SiteFixture.upstreams().getFirst().role(),
                SiteFixture.LOCAL_DOMAIN);
        final FailureDomainName domain = SiteFixture.REMOTE_DOMAIN;
        final List<StoreChange> lost = List.of(
                new StoreChange.UpstreamRegistered(leaving),
                new StoreChange.UpstreamRegistered(started),
                new StoreChange.DomainOutOfService(domain));
        lost.forEach(fleet::write);
        write(fleet, 8, WITHDRAWN, KEPT);
        fleet.run(Duration.ofSeconds(3));

        restore(fleet, copy);
        for (int i = 0; i < 60; i++) {
            fleet.run(STEP);
            if (i == 10) {
                lost.forEach(fleet::write);
                write(fleet, 8, WITHDRAWN, KEPT);
            }
            for (final SiteFixture site : fleet.sites()) {
                final ServingBoard serving = site.board().serving();
                assertThat(serving.routing().table().version()).isEqualTo(8);
                assertThat(serving.routing().takenOut()).contains(domain);
                assertThat(serving.registry().upstreams()).containsKeys(started.name(), leaving.name());
                assertThat(serving.registry().upstreams().get(started.name()).missingSince())
                        .isEmpty();
                assertThat(serving.registry()
                                .upstreams()
                                .get(leaving.name())
                                .upstream()
                                .draining())
                        .isTrue();
            }
        }
    }

    private static void restore(final RelayFleet fleet, final FleetStore.Copy copy) {
        fleet.loseStore(OUTAGE);
        fleet.run(OUTAGE);
        fleet.store().restore(copy);
    }

    private static void write(final RelayFleet fleet, final long version, final KeyDigest... keys) {
        final Map<KeyDigest, TeamName> teams = Map.of(keys[0], SiteFixture.TEAM, keys[1], SiteFixture.TEAM);
        fleet.write(new StoreChange.TableWritten(SiteFixture.table(version, 1_000_000, teams), StoreRevision.NONE));
    }

    private static void assertWithdrawnAndServed(final RelayFleet fleet, final boolean served) {
        final Instant writtenAt = fleet.now();
        while (fleet.now().isBefore(writtenAt.plusSeconds(12))) {
            fleet.run(STEP);
            final Duration elapsed = Duration.between(writtenAt, fleet.now());
            for (final SiteFixture site : fleet.awakeSites()) {
                if (elapsed.compareTo(WITHDRAWAL_LIMIT) >= 0) {
                    assertThat(site.admits("/read/x", WITHDRAWN)).isFalse();
                }
                if (served && elapsed.compareTo(RECOVERY_LIMIT) >= 0) {
                    assertThat(site.admits("/read/x", KEPT)).isTrue();
                    assertThat(site.admits("/read/x", ADDED)).isTrue();
                }
            }
        }
    }
}
