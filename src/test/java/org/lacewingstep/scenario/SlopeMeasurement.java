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

/** Measures how memory and processor time grow with the number of teams, members and requests. Prints a table. */
public final class SlopeMeasurement {
    private static final int MAXIMUM_MEMBERS = 1200;
    private static final int MAXIMUM_TEAMS = 30_000;
    private static final int REPETITIONS = 200;

    private SlopeMeasurement() {}

    /**
     * Runs the measurements.
     *
     * @param arguments ignored
     */
    public static void main(final String... arguments) {
        measureSteps();
        measureTeams();
        measureMembers();
    }

    private static void measureSteps() {
        for (final boolean isMeasured : new boolean[] {false, true}) {
            final VirtualFleet fleet = createFleet(5);
            fleet.addModelService(4, 9, 24);
            final VirtualInstance instance = settle(fleet);
            final Histogram histogram = new Histogram(new UniformReservoir(1_000_000));
            long requestCount = 0;
            final long start = System.nanoTime();
            for (int index = 0; index < 20_000; index++) {
                final TeamName team = new TeamName("team-" + index % 5);
                final long stepStart = System.nanoTime();
                fleet.callers()
                        .send(
                                instance,
                                team,
                                new ServiceSelector.ByModel(VirtualFleet.MODEL),
                                new FakeCallers.RequestWorkload(300, 200, 2));
                histogram.update(System.nanoTime() - stepStart);
                fleet.advance(Duration.ofMillis(50));
                requestCount++;
            }
            final double seconds = (System.nanoTime() - start) / 1e9;
            if (isMeasured) {
                final var snapshot = histogram.getSnapshot();
                print(
                        "step for the arrival of a request, as owner of its budget and cell",
                        "p50 %.1f us, p99 %.1f us",
                        snapshot.getMedian() / 1e3,
                        snapshot.get99thPercentile() / 1e3);
                print(
                        "all control steps of a request at one instance",
                        "%.0f requests/s of one core",
                        requestCount / seconds);
            }
        }
    }

    private static void measureTeams() {
        final long before = usedMemoryBytes();
        final VirtualFleet fleet = createFleet(MAXIMUM_TEAMS);
        final VirtualInstance instance = settle(fleet);
        final long after = usedMemoryBytes();
        print(
                "memory of a team: configuration and both slots at the shard owner",
                "%.0f bytes",
                (double) (after - before) / MAXIMUM_TEAMS);
        final byte[] document = DocumentCodec.encode(fleet.platform().configuration());
        print("a team in the stored configuration", "%.0f bytes", (double) document.length / MAXIMUM_TEAMS);
        final Instant now = fleet.time().now();
        final long start = System.nanoTime();
        Step step = null;
        for (int index = 0; index < 10; index++) {
            step = BlackboardStepper.step(instance.board(), new Event.ConfigurationAdopted(2), now);
        }
        print(
                "adopting or resizing all budgets, for each team",
                "%.2f us",
                (System.nanoTime() - start) / 10.0 / MAXIMUM_TEAMS / 1e3);
        final long decodingStart = System.nanoTime();
        DocumentCodec.decodeConfiguration(document);
        print(
                "decoding the configuration, for each team",
                "%.2f us",
                (System.nanoTime() - decodingStart) / 1e3 / MAXIMUM_TEAMS);
        if (step == null || step.board().teamBudgets().budgets().size() != 2 * MAXIMUM_TEAMS) {
            throw new IllegalStateException("the team budgets were not adopted");
        }
    }

    private static void measureMembers() {
        for (final int count : new int[] {9, 120, MAXIMUM_MEMBERS}) {
            final Roster roster = createRoster(count);
            final Member self = roster.members().getFirst();
            final long before = usedMemoryBytes();
            Blackboard board = Blackboard.initial(new Identity(self, Policy.DEFAULT));
            final Instant now = VirtualTime.START;
            board = BlackboardStepper.step(board, new Event.RosterWritten(roster, 1, now), now)
                    .board();
            board = BlackboardStepper.step(board, new Event.TimerFired(new TimerKey.Heartbeat()), now)
                    .board();
            final long memory = usedMemoryBytes() - before;
            long time = 0;
            int effects = 0;
            for (int index = 0; index < REPETITIONS; index++) {
                final long start = System.nanoTime();
                final Step step = BlackboardStepper.step(
                        board, new Event.TimerFired(new TimerKey.Heartbeat()), now.plusMillis(500L * index));
                time += System.nanoTime() - start;
                board = step.board();
                effects = step.effects().size();
            }
            final long lookupStart = System.nanoTime();
            for (int index = 0; index < REPETITIONS; index++) {
                board.membership().shardOwner(new Shard.TeamShard(index, 0));
            }
            print(
                    count + " members",
                    "%.0f us a heartbeat with %d messages, %.1f us to find a shard owner, %d KB",
                    time / 1e3 / REPETITIONS,
                    effects,
                    (System.nanoTime() - lookupStart) / 1e3 / REPETITIONS,
                    memory / 1024);
        }
    }

    private static void print(final String label, final String format, final Object... values) {
        System.out.println("| " + label + " | " + String.format(Locale.ROOT, format, values) + " |");
    }

    private static VirtualFleet createFleet(final int teams) {
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
        fleet.advance(Duration.ofSeconds(30));
        return instance;
    }

    private static Roster createRoster(final int count) {
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

    private static long usedMemoryBytes() {
        for (int collection = 0; collection < 3; collection++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
