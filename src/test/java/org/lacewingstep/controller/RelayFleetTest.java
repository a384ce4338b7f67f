package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a fleet of instances that read the store through relays: the calls to the store do not grow with the instances,
 * changes arrive in time, and a withdrawn key stops working also where relays are cut off, suspended or gone.
 */
class RelayFleetTest {
    private static final int INSTANCES = 24;
    private static final int DOMAINS = 3;

    /** Time to withdraw a key, as in the policy of the fixture. */
    private static final Duration WITHDRAWAL_LIMIT = Duration.ofSeconds(5);

    /** Time after which a leaving upstream receives no more calls. */
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(3);

    private final RelayFleet fleet = new RelayFleet(INSTANCES, DOMAINS, new Random(1));

    @Test
    void onlyOneInstanceOfEachDomainCallsTheStore() {
        fleet.run(Duration.ofSeconds(6));
        fleet.resetCalls();

        fleet.run(Duration.ofSeconds(10));

        assertThat(fleet.callers()).hasSize(DOMAINS);
        // One confirmation and two watches a second each.
        assertThat(fleet.calls()).isLessThanOrEqualTo(DOMAINS * 3 * 11);
    }

    @Test
    void instancesThatStartWaitForTheirRelay() {
        fleet.run(Duration.ofSeconds(4));

        // Each instance has a first watch after its reading of the store; the relays confirm and watch besides.
        assertThat(fleet.calls()).isLessThanOrEqualTo(INSTANCES + DOMAINS * 3 * 5);
    }

    @Test
    void callsOfInstancesWithoutARelayArePaced() {
        final RelayFleet large = new RelayFleet(95, 5, new Random(1));
        large.run(Duration.ofSeconds(6));
        large.cutPeers(Duration.ofSeconds(30));
        large.run(Duration.ofSeconds(5));
        large.resetCalls();

        large.run(Duration.ofSeconds(10));

        // 40 confirmations and 45 watches a second of all, and those of the relays.
        assertThat(large.calls()).isLessThanOrEqualTo((40 + 45) * 11 + 5 * 3 * 11);
        assertThat(large.sites()).allMatch(site -> CallAdmission.isReady(site.board(), site.now()));
    }

    @Test
    void everyInstanceStaysReady() {
        fleet.run(Duration.ofSeconds(4));
        for (int i = 0; i < 100; i++) {
            fleet.run(Duration.ofMillis(100));
            assertThat(fleet.sites()).allMatch(site -> CallAdmission.isReady(site.board(), site.now()));
        }
    }

    @Test
    void changesReachEveryInstanceInTime() {
        fleet.run(Duration.ofSeconds(6));
        final RegisteredUpstream leaving =
                SiteFixture.draining(SiteFixture.upstreams().getFirst());

        fleet.write(new StoreChange.UpstreamRegistered(leaving));
        fleet.run(DRAIN_LIMIT);

        assertThat(fleet.sites()).allMatch(site -> isDraining(site, leaving.name()));
    }

    @Test
    void loadOfAnInstanceIsKnownToAllOthersWithinASecond() {
        fleet.run(Duration.ofSeconds(6));
        final SiteFixture busy = fleet.sites().get(5);
        final RequestIdentifier request = busy.call("/post/x");
        final UpstreamName upstream = busy.lastSend(request).upstream().name();

        fleet.run(Duration.ofMillis(1100));

        assertThat(fleet.sites())
                .allMatch(
                        site -> site.board().serving().use(upstream, site.now()).requests() == 1);
    }

    @Test
    void anotherInstanceTakesThePlaceOfARelayThatIsCutOff() {
        fleet.run(Duration.ofSeconds(6));
        final List<Integer> relays = fleet.callers().stream().toList();
        fleet.cut(relays.getFirst(), Duration.ofSeconds(20));

        for (int i = 0; i < 100; i++) {
            fleet.run(Duration.ofMillis(100));
            for (int index = 0; index < INSTANCES; index++) {
                final SiteFixture site = fleet.sites().get(index);
                if (index != relays.getFirst()) {
                    assertThat(site.lastInstruction(site.call("/post/x"))).isInstanceOf(Send.class);
                }
            }
        }
        final RegisteredUpstream leaving =
                SiteFixture.draining(SiteFixture.upstreams().getFirst());
        fleet.write(new StoreChange.UpstreamRegistered(leaving));
        fleet.run(DRAIN_LIMIT);
        for (int index = 0; index < INSTANCES; index++) {
            assertThat(index == relays.getFirst() || isDraining(fleet.sites().get(index), leaving.name()))
                    .isTrue();
        }
    }

    @Test
    void instancesReadTheStoreThemselvesWhileNoRelayAnswers() {
        fleet.run(Duration.ofSeconds(6));
        fleet.cutPeers(Duration.ofSeconds(20));
        fleet.resetCalls();

        fleet.run(Duration.ofSeconds(10));

        assertThat(fleet.callers()).hasSize(INSTANCES);
        assertThat(fleet.sites()).allMatch(site -> CallAdmission.isReady(site.board(), site.now()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void withdrawnKeyRunsNothingAfterTheLimit(final long seed) {
        final Random random = new Random(seed);
        final RelayFleet faulty = new RelayFleet(INSTANCES, DOMAINS, random);
        faulty.run(Duration.ofSeconds(5));
        for (int i = 0; i < 8; i++) {
            faulty.injectFault(random);
            faulty.run(Duration.ofMillis(random.nextInt(600)));
        }

        final Instant withdrawnAt = faulty.now();
        faulty.write(new StoreChange.TableWritten(SiteFixture.table(2, 1_000_000, Map.of()), new StoreRevision(0, 0)));
        for (int i = 0; i < 120; i++) {
            faulty.run(Duration.ofMillis(100));
            if (Duration.between(withdrawnAt, faulty.now()).compareTo(WITHDRAWAL_LIMIT) > 0) {
                for (final SiteFixture site : faulty.awakeSites()) {
                    final RequestIdentifier request = site.call("/post/x");
                    assertThat(site.lastInstruction(request)).isNotInstanceOf(Send.class);
                }
            }
        }
    }

    private static boolean isDraining(final SiteFixture site, final UpstreamName name) {
        return site.board()
                .serving()
                .registry()
                .upstreams()
                .get(name)
                .upstream()
                .draining();
    }
}
