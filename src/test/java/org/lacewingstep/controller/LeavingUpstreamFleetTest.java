package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingstep.blackboard.RegistrySection.Entry;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests at large sites that no instance uses an upstream that leaves for longer than permitted. */
class LeavingUpstreamFleetTest {
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(3);

    /** Time without faults after which an instance is bound by the limit again. */
    private static final Duration CONTACT_TIME = Duration.ofSeconds(4);

    /** Share of the instances that the store turns away, while it counts as stable for the others. */
    private static final double REJECTED_SHARE = 0.35;

    /** Time after a fault in which relays take their places again. */
    private static final Duration SETTLE_TIME = Duration.ofSeconds(10);

    private static final int DEPARTURES = 8;

    @ParameterizedTest
    @CsvSource({"58,3,1", "72,4,2", "87,3,3", "95,5,4"})
    void drainingUpstreamIsUsedNoLongerThanPermitted(final int instances, final int domains, final long seed) {
        final RelayFleet fleet = start(instances, domains, seed);
        final Random random = new Random(seed);
        for (int i = 0; i < DEPARTURES; i++) {
            fleet.run(Duration.ofMillis(random.nextInt(1000)));
            fleet.write(draining(i));
            assertUnusedInTime(fleet, i, Set.of());
        }
    }

    @ParameterizedTest
    @CsvSource({"58,3,1", "72,4,2", "87,3,3", "95,5,4"})
    void removedUpstreamIsUsedNoLongerThanPermitted(final int instances, final int domains, final long seed) {
        final RelayFleet fleet = start(instances, domains, seed);
        final Random random = new Random(seed);
        for (int i = 0; i < DEPARTURES; i++) {
            fleet.run(Duration.ofMillis(random.nextInt(1000)));
            fleet.write(new StoreChange.UpstreamUnregistered(name(i)));
            assertUnusedInTime(fleet, i, Set.of());
        }
    }

    @ParameterizedTest
    @CsvSource({"58,3,1", "72,4,2", "87,3,3", "95,5,4"})
    void upstreamThatLeavesWhileHistoryIsLostIsUsedNoLongerThanPermitted(
            final int instances, final int domains, final long seed) {
        final RelayFleet fleet = start(instances, domains, seed);
        final Random random = new Random(seed);
        for (int i = 0; i < DEPARTURES; i++) {
            fleet.run(Duration.ofMillis(2000 + random.nextInt(1000)));
            fleet.loseHistory(Duration.ofSeconds(1));
            fleet.run(Duration.ofMillis(random.nextInt(900)));
            fleet.write(i % 2 == 0 ? draining(i) : new StoreChange.UpstreamUnregistered(name(i)));
            assertUnusedInTime(fleet, i, Set.of());
        }
    }

    @ParameterizedTest
    @CsvSource({"58,3,1", "72,4,2", "87,3,3", "95,5,4"})
    void upstreamThatLeavesAsARelayFailsIsUsedNoLongerThanPermitted(
            final int instances, final int domains, final long seed) {
        final RelayFleet fleet = start(instances, domains, seed);
        final Random random = new Random(seed);
        for (int i = 0; i < DEPARTURES; i++) {
            final int relay = fleet.relays().getFirst();
            fleet.cut(relay, Duration.ofSeconds(5));
            fleet.run(Duration.ofMillis(random.nextInt(700)));
            fleet.write(i % 2 == 0 ? draining(i) : new StoreChange.UpstreamUnregistered(name(i)));
            assertUnusedInTime(fleet, i, Set.of(relay));
            fleet.run(SETTLE_TIME);
        }
    }

    @ParameterizedTest
    @CsvSource({"58,3,1", "72,4,2", "87,3,3", "95,5,4"})
    void upstreamThatLeavesSoonAfterARelayIsBackIsUsedNoLongerThanPermitted(
            final int instances, final int domains, final long seed) {
        final RelayFleet fleet = start(instances, domains, seed);
        final Random random = new Random(seed);
        for (int i = 0; i < DEPARTURES; i++) {
            final Duration cut = Duration.ofMillis(1000 + random.nextInt(5000));
            final int relay = fleet.relays().getFirst();
            fleet.cut(relay, cut);
            fleet.run(cut.plus(CONTACT_TIME).minus(DRAIN_LIMIT));
            fleet.write(i % 2 == 0 ? draining(i) : new StoreChange.UpstreamUnregistered(name(i)));
            assertUnusedInTime(fleet, i, Set.of());
            fleet.run(SETTLE_TIME);
        }
    }

    @ParameterizedTest
    @CsvSource({"58,3,1", "72,4,2", "87,3,3", "95,5,4"})
    void upstreamThatLeavesWhileTheStoreTurnsRelaysAwayIsUsedNoLongerThanPermitted(
            final int instances, final int domains, final long seed) {
        final RelayFleet fleet = start(instances, domains, seed);
        final Random random = new Random(seed);
        for (int i = 0; i < DEPARTURES; i++) {
            final Set<Integer> rejected = new HashSet<>(fleet.relays());
            while (rejected.size() < REJECTED_SHARE * instances) {
                rejected.add(random.nextInt(instances));
            }
            rejected.forEach(index -> fleet.rejectAtStore(index, Duration.ofSeconds(4)));
            fleet.run(Duration.ofMillis(random.nextInt(700)));
            fleet.write(i % 2 == 0 ? draining(i) : new StoreChange.UpstreamUnregistered(name(i)));
            assertUnusedInTime(fleet, i, rejected);
            fleet.run(SETTLE_TIME);
        }
    }

    private static RelayFleet start(final int instances, final int domains, final long seed) {
        final RelayFleet fleet = new RelayFleet(instances, domains, new Random(seed), upstreams());
        fleet.run(Duration.ofSeconds(6));
        return fleet;
    }

    /** Runs until the limit has passed since the departure, and asserts that no instance in touch uses the upstream. */
    private static void assertUnusedInTime(final RelayFleet fleet, final int departure, final Set<Integer> outOfTouch) {
        final Instant limit = fleet.now().plus(DRAIN_LIMIT);
        fleet.run(DRAIN_LIMIT);
        final List<Integer> using = new ArrayList<>();
        for (int i = 0; i < fleet.sites().size(); i++) {
            if (!outOfTouch.contains(i) && isUsable(fleet.sites().get(i), name(departure))) {
                using.add(i);
            }
        }
        assertThat(using)
                .as("instances that use upstream %s at %s", name(departure), limit)
                .isEmpty();
    }

    private static boolean isUsable(final SiteFixture site, final UpstreamName name) {
        final Entry entry = site.board().serving().registry().upstreams().get(name);
        return entry != null && UpstreamAvailability.acceptsRequests(site.board(), entry.upstream(), site.now());
    }

    private static StoreChange draining(final int number) {
        return new StoreChange.UpstreamRegistered(
                SiteFixture.draining(upstreams().get(number)));
    }

    private static UpstreamName name(final int number) {
        return upstreams().get(number).name();
    }

    private static List<RegisteredUpstream> upstreams() {
        final List<RegisteredUpstream> upstreams = new ArrayList<>();
        for (int i = 0; i < 2 * DEPARTURES; i++) {
            upstreams.add(SiteFixture.upstream(
                    "ledger-" + i, SiteFixture.LEDGER, UpstreamRole.PLAIN, SiteFixture.LOCAL_DOMAIN));
        }
        return upstreams;
    }
}
