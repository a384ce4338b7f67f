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

/** Runs random schedules of faults with fixed seeds and checks that every budget holds. */
class FleetScheduleTest {
    private static final int FAULTS = 14;
    private static final List<String> NAMES = List.of("a", "b", "c", "d", "e", "f");
    private static final Duration REST = Duration.ofSeconds(320);
    private static final TeamName TEAM = new TeamName("weavers");

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void budgetsHoldUnderRandomFaults(final long seed) {
        final VirtualFleet fleet = new VirtualFleet(seed, List.of("Rundu", "Nkurenkuru", "Divundu"), Policy.DEFAULT);
        fleet.addTeam(TEAM.value(), 4000, 40000);
        fleet.addModelService(3, 6, 8);
        fleet.applyConfiguration();
        NAMES.forEach(fleet::startInstance);
        fleet.pass(Duration.ofSeconds(20));
        final SplittableRandom random = new SplittableRandom(seed);
        for (int fault = 0; fault < FAULTS; fault++) {
            sendLoad(fleet, random);
            disturb(fleet, random);
            fleet.pass(Duration.ofSeconds(2 + random.nextInt(18)));
        }
        calm(fleet);
        fleet.pass(REST);
        checkBudgets(fleet);
        checkRecovery(fleet);
    }

    private static void checkBudgets(final VirtualFleet fleet) {
        assertThat(fleet.callers().ledger().excess(fleet.team(TEAM)))
                .as("tokens over rate and burst")
                .isLessThanOrEqualTo(0);
        assertThat(fleet.callers().openRequests()).as("requests without answer").isZero();
        assertThat(fleet.watch().conflicts()).as("budgets held twice").isEmpty();
        fleet.upstreams().values().forEach(upstream -> {
            assertThat(upstream.overcommits())
                    .as("memory promised twice at %s", upstream.upstream().name())
                    .isZero();
            assertThat(upstream.running())
                    .as("memory held at %s", upstream.upstream().name())
                    .isZero();
        });
    }

    private static void checkRecovery(final VirtualFleet fleet) {
        final int before = fleet.callers().answers().size();
        final FakeCallers.Work work = new FakeCallers.Work(100, 50, 50);
        for (int index = 0; index < 100; index++) {
            final VirtualInstance instance =
                    fleet.living().get(index % fleet.living().size());
            fleet.time().after(Duration.ofMillis(100L * index), () -> fleet.callers()
                    .send(instance, TEAM, new ServiceSelector.ByModel(VirtualFleet.MODEL), work));
        }
        fleet.pass(Duration.ofSeconds(60));
        final List<FakeCallers.Answer> answers = fleet.callers().answers();
        assertThat(answers.subList(before, answers.size()))
                .hasSize(100)
                .allMatch(answer -> answer.kind() == FakeCallers.Kind.ANSWERED);
    }

    private static void calm(final VirtualFleet fleet) {
        fleet.network().disturb(0, 0, Duration.ofMillis(1));
        fleet.platform().setStoreDown(false);
        fleet.platform().setListDown(false);
        for (final VirtualInstance instance : fleet.living()) {
            fleet.network().cutOff(instance.name(), false);
            fleet.platform().cutOff(instance.name(), false);
        }
    }

    private static void disturb(final VirtualFleet fleet, final SplittableRandom random) {
        final List<VirtualInstance> living = fleet.living();
        final VirtualInstance victim = living.get(random.nextInt(living.size()));
        switch (random.nextInt(10)) {
            case 0 -> fleet.kill(victim.name().value());
            case 1, 2 -> pause(fleet, victim, 1 + random.nextInt(40));
            case 3 -> victim.deliver(new Event.ShutdownRequested());
            case 4 -> fleet.platform().setStoreDown(random.nextBoolean());
            case 5 -> fleet.platform().setListDown(random.nextBoolean());
            case 6 -> fleet.network().cutOff(victim.name(), random.nextBoolean());
            case 7 -> fleet.platform().cutOff(victim.name(), random.nextBoolean());
            case 8 -> fleet.network().disturb(0.1, 0.1, Duration.ofMillis(300));
            default -> startMissing(fleet);
        }
        if (living.size() <= 2) {
            startMissing(fleet);
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
            final FakeCallers.Work work =
                    new FakeCallers.Work(50 + random.nextInt(6000), output, 1 + random.nextInt((int) output));
            fleet.time().after(Duration.ofMillis(random.nextInt(10_000)), () -> {
                final List<VirtualInstance> living = fleet.living();
                final VirtualInstance instance = living.get(random.nextInt(living.size()));
                fleet.callers().send(instance, TEAM, new ServiceSelector.ByModel(VirtualFleet.MODEL), work);
            });
        }
    }

    private static void startMissing(final VirtualFleet fleet) {
        for (final String name : NAMES) {
            final boolean lives = fleet.living().stream()
                    .anyMatch(instance -> instance.name().value().equals(name));
            if (!lives) {
                fleet.startInstance(name);
                return;
            }
        }
    }
}
