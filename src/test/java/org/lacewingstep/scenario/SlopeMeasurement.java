package org.lacewingstep.scenario;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.UniformReservoir;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Identity;
import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.blackboard.Step;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.controller.BlackboardStepper;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.ServiceSelector;
import org.lacewingstep.domain.Shard;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.etcd.DocumentCodec;

/** Measures how memory and processor time grow with teams, members and requests, and prints a table. */
public final class SlopeMeasurement {
    private static final int MOST_MEMBERS = 1200;
    private static final int MOST_TEAMS = 30_000;
    private static final int REPEATS = 200;

    private SlopeMeasurement() {}

    /**
     * Runs the measurements.
     *
     * @param arguments none
     */
    public static void main(final String... arguments) {
        measureSteps();
        measureTeams();
        measureMembers();
    }

    private static void measureSteps() {
        for (final boolean counts : new boolean[] {false, true}) {
            final VirtualFleet fleet = fleet(5);
            fleet.addModelService(4, 9, 24);
            final VirtualInstance instance = settle(fleet);
            final Histogram histogram = new Histogram(new UniformReservoir(1_000_000));
            long count = 0;
            final long start = System.nanoTime();
            for (int index = 0; index < 20_000; index++) {
                final TeamName team = new TeamName("team-" + index % 5);
                final long before = System.nanoTime();
                fleet.callers()
                        .send(
                                instance,
                                team,
                                new ServiceSelector.ByModel(VirtualFleet.MODEL),
                                new FakeCallers.Work(300, 200, 2));
                histogram.update(System.nanoTime() - before);
                fleet.pass(Duration.ofMillis(50));
                count++;
            }
            final double seconds = (System.nanoTime() - start) / 1e9;
            if (counts) {
                final var snapshot = histogram.getSnapshot();
                print(
                        "step of a request's arrival, budget and room at home",
                        "p50 %.1f us, p99 %.1f us",
                        snapshot.getMedian() / 1e3,
                        snapshot.get99thPercentile() / 1e3);
                print(
                        "whole control work of a request at one instance",
                        "%.0f requests/s of one core",
                        count / seconds);
            }
        }
    }

    private static void measureTeams() {
        final long before = usedMemory();
        final VirtualFleet fleet = fleet(MOST_TEAMS);
        final VirtualInstance instance = settle(fleet);
        final long after = usedMemory();
        print(
                "memory of a team: configuration and both slots at home",
                "%.0f bytes",
                (double) (after - before) / MOST_TEAMS);
        final byte[] document = DocumentCodec.encode(fleet.platform().configuration());
        print("a team in the stored configuration", "%.0f bytes", (double) document.length / MOST_TEAMS);
        final Instant now = fleet.time().now();
        final long start = System.nanoTime();
        Step step = null;
        for (int index = 0; index < 10; index++) {
            step = BlackboardStepper.step(instance.board(), new Event.ConfigurationAdopted(2), now);
        }
        print(
                "taking up or resizing all budgets, for each team",
                "%.2f us",
                (System.nanoTime() - start) / 10.0 / MOST_TEAMS / 1e3);
        final long decoding = System.nanoTime();
        DocumentCodec.decodeConfiguration(document);
        print(
                "decoding the configuration, for each team",
                "%.2f us",
                (System.nanoTime() - decoding) / 1e3 / MOST_TEAMS);
        if (step == null || step.board().teamBudgets().budgets().size() != 2 * MOST_TEAMS) {
            throw new IllegalStateException("the budgets were not taken up");
        }
    }

    private static void measureMembers() {
        for (final int count : new int[] {9, 120, MOST_MEMBERS}) {
            final Roster roster = roster(count);
            final Member self = roster.members().getFirst();
            final long before = usedMemory();
            Blackboard board = Blackboard.initial(new Identity(self, Policy.DEFAULT));
            final Instant now = VirtualTime.START;
            board = BlackboardStepper.step(board, new Event.RosterWritten(roster, 1, now), now)
                    .board();
            board = BlackboardStepper.step(board, new Event.TimerFired(new TimerKey.Heartbeat()), now)
                    .board();
            final long memory = usedMemory() - before;
            long time = 0;
            int effects = 0;
            for (int index = 0; index < REPEATS; index++) {
                final long start = System.nanoTime();
                final Step step = BlackboardStepper.step(
                        board, new Event.TimerFired(new TimerKey.Heartbeat()), now.plusMillis(500L * index));
                time += System.nanoTime() - start;
                board = step.board();
                effects = step.effects().size();
            }
            final long lookup = System.nanoTime();
            for (int index = 0; index < REPEATS; index++) {
                board.membership().home(new Shard.TeamShard(index, 0));
            }
            print(
                    count + " members",
                    "%.0f us a heartbeat with %d messages, %.1f us to find a home, %d KB",
                    time / 1e3 / REPEATS,
                    effects,
                    (System.nanoTime() - lookup) / 1e3 / REPEATS,
                    memory / 1024);
        }
    }

    private static void print(final String what, final String format, final Object... values) {
        System.out.println("| " + what + " | " + String.format(Locale.ROOT, format, values) + " |");
    }

    private static VirtualFleet fleet(final int teams) {
        final VirtualFleet fleet = new VirtualFleet(1, List.of("Rundu"), Policies.withoutColdStarts());
        for (int index = 0; index < teams; index++) {
            fleet.addTeam("team-" + index, 1_000_000, 10_000_000);
        }
        return fleet;
    }

    private static VirtualInstance settle(final VirtualFleet fleet) {
        fleet.observeAdmissions();
        fleet.applyConfiguration();
        final VirtualInstance instance = fleet.startInstance("a");
        fleet.pass(Duration.ofSeconds(30));
        return instance;
    }

    private static Roster roster(final int count) {
        final List<Member> members = new ArrayList<>();
        final List<FailureDomainName> domains = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            final FailureDomainName domain = new FailureDomainName("domain-" + index % 16);
            domains.add(domain);
            members.add(new Member(
                    new Incarnation(new InstanceName("instance-" + index), 1),
                    new PeerAddress("10.0.0.1", 7000 + index),
                    domain));
        }
        return new Roster(1, members, domains);
    }

    private static long usedMemory() {
        for (int turn = 0; turn < 3; turn++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
