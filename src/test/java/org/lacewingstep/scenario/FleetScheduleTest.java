package org.lacewingstep.scenario;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.domain.ServiceSelector;
import org.lacewingstep.domain.TeamName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs random fault schedules with fixed seeds, and checks that budgets and memory limits hold and that service
 * recovers afterwards.
 */
class FleetScheduleTest {
    private static final int FAULT_COUNT = 14;
    private static final List<String> NAMES = List.of("a", "b", "c", "d", "e", "f");
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(320);
    private static final TeamName TEAM = new TeamName("weavers");

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void budgetsHoldUnderRandomFaults(final long seed) {
        final VirtualFleet fleet = new VirtualFleet(seed, List.of("Rundu", "Nkurenkuru", "Divundu"), Policy.DEFAULT);
        fleet.addTeam(TEAM.value(), 4000, 40000);
        fleet.addModelService(3, 6, 8);
        fleet.applyConfiguration();
        NAMES.forEach(fleet::startInstance);
        fleet.advance(Duration.ofSeconds(20));
        final SplittableRandom random = new SplittableRandom(seed);
        for (int fault = 0; fault < FAULT_COUNT; fault++) {
            sendLoad(fleet, random);
            injectFault(fleet, random);
            fleet.advance(Duration.ofSeconds(2 + random.nextInt(18)));
        }
        clearFaults(fleet);
        fleet.advance(RECOVERY_TIME);
        checkBudgets(fleet);
        checkRecovery(fleet);
    }

    private static void checkBudgets(final VirtualFleet fleet) {
        assertThat(fleet.callers().ledger().largestExcess(fleet.team(TEAM)))
                .as("tokens over rate and burst")
                .isLessThanOrEqualTo(0);
        assertThat(fleet.callers().openRequestCount())
                .as("requests without an outcome")
                .isZero();
        assertThat(fleet.duplicateHolderCheck().conflicts())
                .as("budgets held twice")
                .isEmpty();
        fleet.upstreams().values().forEach(upstream -> {
            assertThat(upstream.memoryOvercommits())
                    .as("memory overcommitted at %s", upstream.upstream().name())
                    .isZero();
            assertThat(upstream.running())
                    .as("memory held at %s", upstream.upstream().name())
                    .isZero();
        });
    }

    private static void checkRecovery(final VirtualFleet fleet) {
        final int outcomesBefore = fleet.callers().outcomes().size();
        final FakeCallers.RequestWorkload workload = new FakeCallers.RequestWorkload(100, 50, 50);
        for (int index = 0; index < 100; index++) {
            final VirtualInstance instance =
                    fleet.living().get(index % fleet.living().size());
            fleet.time().after(Duration.ofMillis(100L * index), () -> fleet.callers()
                    .send(instance, TEAM, new ServiceSelector.ByModel(VirtualFleet.MODEL), workload));
        }
        fleet.advance(Duration.ofSeconds(60));
        final List<FakeCallers.RequestOutcome> outcomes = fleet.callers().outcomes();
        assertThat(outcomes.subList(outcomesBefore, outcomes.size()))
                .hasSize(100)
                .allMatch(outcome -> outcome.kind() == FakeCallers.OutcomeKind.COMPLETED);
    }

    private static void clearFaults(final VirtualFleet fleet) {
        fleet.network().setFaults(0, 0, Duration.ofMillis(1));
        fleet.platform().setStoreDown(false);
        fleet.platform().setListDown(false);
        for (final VirtualInstance instance : fleet.living()) {
            fleet.network().setIsolated(instance.name(), false);
            fleet.platform().setIsolated(instance.name(), false);
        }
    }

    private static void injectFault(final VirtualFleet fleet, final SplittableRandom random) {
        final List<VirtualInstance> living = fleet.living();
        final VirtualInstance victim = living.get(random.nextInt(living.size()));
        switch (random.nextInt(10)) {
            case 0 -> fleet.kill(victim.name().value());
            case 1, 2 -> pause(fleet, victim, 1 + random.nextInt(40));
            case 3 -> victim.deliver(new Event.ShutdownRequested());
            case 4 -> fleet.platform().setStoreDown(random.nextBoolean());
            case 5 -> fleet.platform().setListDown(random.nextBoolean());
            case 6 -> fleet.network().setIsolated(victim.name(), random.nextBoolean());
            case 7 -> fleet.platform().setIsolated(victim.name(), random.nextBoolean());
            case 8 -> fleet.network().setFaults(0.1, 0.1, Duration.ofMillis(300));
            default -> startMissingInstance(fleet);
        }
        if (living.size() <= 2) {
            startMissingInstance(fleet);
        }
    }

    private static void pause(final VirtualFleet fleet, final VirtualInstance victim, final int seconds) {
        victim.pause();
        fleet.time().after(Duration.ofSeconds(seconds), victim::resume);
    }

    private static void sendLoad(final VirtualFleet fleet, final SplittableRandom random) {
        final int count = 20 + random.nextInt(80);
        for (int index = 0; index < count; index++) {
            final long output = 20 + random.nextInt(200);
            final FakeCallers.RequestWorkload workload = new FakeCallers.RequestWorkload(
                    50 + random.nextInt(6000), output, 1 + random.nextInt((int) output));
            fleet.time().after(Duration.ofMillis(random.nextInt(10_000)), () -> {
                final List<VirtualInstance> living = fleet.living();
                final VirtualInstance instance = living.get(random.nextInt(living.size()));
                fleet.callers().send(instance, TEAM, new ServiceSelector.ByModel(VirtualFleet.MODEL), workload);
            });
        }
    }

    private static void startMissingInstance(final VirtualFleet fleet) {
        for (final String name : NAMES) {
            final boolean isAlive = fleet.living().stream()
                    .anyMatch(instance -> instance.name().value().equals(name));
            if (!isAlive) {
                fleet.startInstance(name);
                return;
            }
        }
    }
}
