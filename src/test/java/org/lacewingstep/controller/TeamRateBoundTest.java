package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.AllowanceBucket;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RequestIdentifier;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that instances that report the spending of teams to each other keep within a team's bound together. */
class TeamRateBoundTest {
    private static final int INSTANCES = 6;
    private static final double RATE = 36_000;
    private static final double SLACK = 140_000;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration WINDOW = Duration.ofSeconds(8);

    /** Required bound on the units of one window: rate times window and burst, plus 10 %, and the slack. */
    private static final double BOUND = (RATE * 8 + RATE) * 1.1 + SLACK;

    private final List<SiteFixture> sites = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final List<PendingMessage> pendingMessages = new ArrayList<>();
    private final List<SentCall> sentCalls = new ArrayList<>();

    private AllowanceBucket referenceBucket = new AllowanceBucket(RATE, RATE, RATE, Instant.EPOCH);
    private int refused;
    private boolean onlyCallsWithinLimit;
    private int isolatedInstance = -1;
    private long isolatedUntilStep;

    /** A peer message that is not delivered yet. */
    private record PendingMessage(Instant due, int receiver, Event event) {}

    /** The units of a call that was sent to an upstream, and when. */
    private record SentCall(Instant at, long units) {}

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void noWindowExceedsTheBoundWhenInstancesAreIsolatedAndRestarted(final long seed) {
        final Random random = new Random(seed);
        start();

        simulate(random, 4000, 0.3, true);

        assertThat(maxUnitsInWindow()).isLessThanOrEqualTo(BOUND);
    }

    /** The store comes back without the entries of the instances; each writes its own again, one restarts before. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void noWindowExceedsTheBoundWhileTheStoreHasLostAllInstances(final long seed) {
        final Random random = new Random(seed);
        start();
        simulate(random, 1000, 0.3, false);

        loseInstances(random);
        simulate(random, 100, 0.3, false);
        restart(random.nextInt(INSTANCES), 1101, false);
        simulate(random, 600, 0.3, false);
        for (final Member member : members) {
            sites.forEach(site -> site.changeStore(new StoreChange.InstanceRegistered(member)));
            simulate(random, 20, 0.3, false);
        }
        simulate(random, 1000, 0.3, false);

        assertThat(maxUnitsInWindow()).isLessThanOrEqualTo(BOUND);
        assertThat(sites).allMatch(site -> site.board().serving().site().instances() == INSTANCES);
    }

    @Test
    void instanceThatIsGoneIsNotCountedAnyLonger() {
        start();
        simulate(new Random(1), 300, 0.3, false);
        isolatedInstance = 5;
        isolatedUntilStep = Long.MAX_VALUE;
        simulate(new Random(1), 500, 0.3, false);

        sites.forEach(site -> site.changeStore(
                new StoreChange.InstanceUnregistered(members.get(5).name())));

        assertThat(sites.subList(0, 5))
                .allMatch(site -> site.board().serving().site().instances() == 5);
        // It hears from nobody, so it may be the one that is cut off.
        assertThat(sites.get(5).board().serving().site().instances()).isEqualTo(INSTANCES);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void teamWithinItsLimitIsNeverRefused(final long seed) {
        start();

        onlyCallsWithinLimit = true;
        simulate(new Random(seed), 500, 0, false);
        simulate(new Random(seed), 3000, 0.2, false);

        assertThat(refused).isZero();
        assertThat(sentCalls).hasSizeGreaterThan(150);
    }

    @Test
    void teamGetsNearlyItsFullRateAcrossInstances() {
        start();

        simulate(new Random(1), 3000, 0.3, false);

        final double units = sentCalls.stream().mapToLong(SentCall::units).sum();
        assertThat(units).isGreaterThan(RATE * 30);
    }

    private void start() {
        for (int i = 0; i < INSTANCES; i++) {
            members.add(SiteFixture.member("i" + i, 1000));
            sites.add(site(i, true));
        }
    }

    private void loseInstances(final Random random) {
        final StoreChange[] lost = members.stream()
                .map(member -> new StoreChange.InstanceUnregistered(member.name()))
                .toArray(StoreChange[]::new);
        for (final SiteFixture site : sites) {
            if (random.nextBoolean()) {
                site.changeStore(lost);
            } else {
                site.readStore(SiteFixture.table(1, RATE), SiteFixture.upstreams());
            }
        }
    }

    private void restart(final int index, final long process, final boolean listed) {
        members.set(index, SiteFixture.member("i" + index, process));
        sites.set(index, listed ? site(index, false) : unlistedSite(index));
    }

    private SiteFixture unlistedSite(final int index) {
        final SiteFixture site = new SiteFixture(members.get(index), false, SLACK);
        site.advanceClock(Duration.between(site.now(), sites.getFirst().now()));
        site.readStore(SiteFixture.table(1, RATE), SiteFixture.upstreams());
        return site;
    }

    private SiteFixture site(final int index, final boolean firstStart) {
        final SiteFixture site = new SiteFixture(members.get(index), firstStart, SLACK);
        if (!sites.isEmpty()) {
            site.advanceClock(Duration.between(site.now(), sites.getFirst().now()));
        }
        site.readStore(SiteFixture.table(1, RATE), SiteFixture.upstreams());
        site.changeStore(SiteFixture.presentInstances("i", INSTANCES));
        return site;
    }

    private void simulate(final Random random, final int steps, final double arrivalProbability, final boolean faults) {
        for (int i = 0; i < steps; i++) {
            if (random.nextDouble() < arrivalProbability) {
                call(sites.get(random.nextInt(INSTANCES)), 1000 + random.nextInt(7000));
            }
            if (i % 5 == 0) {
                broadcastLoads(random, i);
            }
            if (faults && i % 500 == 499) {
                injectFault(random, i);
            }
            sites.forEach(site -> {
                site.advanceClock(STEP);
                site.confirmTable();
            });
            deliverDueMessages();
        }
    }

    private void call(final SiteFixture site, final long units) {
        referenceBucket = referenceBucket.withLimits(RATE, RATE, site.now());
        if (onlyCallsWithinLimit && referenceBucket.level() < units) {
            return;
        }
        referenceBucket = onlyCallsWithinLimit ? referenceBucket.spend(units) : referenceBucket;
        final RequestIdentifier request = site.call("/post/x", units);
        if (site.lastInstruction(request) instanceof Send) {
            sentCalls.add(new SentCall(site.now(), units));
            site.endAttempt(request, new CallResult.Served());
        } else {
            refused++;
        }
    }

    private void broadcastLoads(final Random random, final int step) {
        for (int i = 0; i < INSTANCES; i++) {
            final SiteFixture site = sites.get(i);
            site.effects().clear();
            site.step(new Event.TimerFired(new TimerKey.LoadBroadcast()));
            for (final Effect effect : List.copyOf(site.effects())) {
                if (effect instanceof Effect.SendToPeer(var receiver, var message)) {
                    final int to = indexOf(receiver);
                    final boolean lost = (i == isolatedInstance || to == isolatedInstance) && step < isolatedUntilStep;
                    if (!lost) {
                        pendingMessages.add(new PendingMessage(
                                site.now().plusMillis(random.nextInt(100)),
                                to,
                                new Event.PeerMessageReceived(members.get(i).incarnation(), message)));
                    }
                }
            }
        }
    }

    private int indexOf(final Member member) {
        for (int i = 0; i < INSTANCES; i++) {
            if (members.get(i).name().equals(member.name())) {
                return i;
            }
        }
        throw new IllegalStateException("no such member: " + member);
    }

    /** Isolates a random instance from its peers for four seconds (400 steps), or restarts it. */
    private void injectFault(final Random random, final int step) {
        final int target = random.nextInt(INSTANCES);
        if (random.nextBoolean()) {
            isolatedInstance = target;
            isolatedUntilStep = step + 400;
        } else {
            restart(target, 1001 + step, true);
        }
    }

    private void deliverDueMessages() {
        final List<PendingMessage> due = pendingMessages.stream()
                .filter(message -> !message.due().isAfter(sites.getFirst().now()))
                .toList();
        pendingMessages.removeAll(due);
        due.forEach(message -> sites.get(message.receiver()).step(message.event()));
    }

    private double maxUnitsInWindow() {
        double maximum = 0;
        for (final SentCall first : sentCalls) {
            final Instant end = first.at().plus(WINDOW);
            final double units = sentCalls.stream()
                    .filter(other ->
                            !other.at().isBefore(first.at()) && other.at().isBefore(end))
                    .mapToLong(SentCall::units)
                    .sum();
            maximum = Math.max(maximum, units);
        }
        return maximum;
    }
}
