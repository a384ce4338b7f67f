package org.lacewingstep.scenario;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.FailureDomain;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.ServiceSelector;
import org.lacewingstep.domain.TeamName;

/**
 * Measures, over several seeds, the time until a configuration change or the failure of an instance takes effect, and
 * the outcomes of requests in the meantime.
 */
public final class EffectTimes {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int SEED_COUNT = 20;
    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);
    private static final TeamName TEAM = new TeamName("weavers");

    private EffectTimes() {}

    /**
     * Runs the measurements.
     *
     * @param arguments ignored
     */
    public static void main(final String... arguments) {
        final List<Duration> withdrawals = new ArrayList<>();
        final List<Duration> domainRemovals = new ArrayList<>();
        final List<Duration> memoryReleases = new ArrayList<>();
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            withdrawals.add(measureKeyWithdrawal(seed));
            domainRemovals.add(measureDomainRemoval(seed));
            memoryReleases.add(measureMemoryRelease(seed));
        }
        printTimes("a withdrawn key is refused by every instance", withdrawals);
        printTimes("the last start in a failure domain taken out", domainRemovals);
        printTimes("memory of a killed instance's requests is free", memoryReleases);
        printOutcomeShares("no fault", fleet -> {});
        printOutcomeShares("an instance is killed", fleet -> fleet.kill("a"));
        printOutcomeShares("a decode upstream fails", fleet -> fleet.upstreams().values().stream()
                .filter(upstream -> upstream.upstream().name().value().equals("decode-0"))
                .forEach(upstream -> upstream.setDown(true)));
        printOutcomeShares("a failure domain is taken out", fleet -> setTakenOut(fleet, true));
        printOutcomeShares("a failure domain is taken out and brought back after 10 s", fleet -> {
            setTakenOut(fleet, true);
            fleet.time().after(Duration.ofSeconds(10), () -> setTakenOut(fleet, false));
        });
        printOutcomeShares("the store goes down", fleet -> fleet.platform().setStoreDown(true));
    }

    private static Duration measureKeyWithdrawal(final long seed) {
        final VirtualFleet fleet = startLoadedFleet(seed);
        fleet.platform().apply(fleet.platform().configuration().withKeys(Map.of()));
        final long generation = fleet.platform().configuration().generation();
        return timeUntil(fleet, () -> fleet.living().stream()
                .allMatch(instance -> instance.board().configuration().inForce().generation() == generation));
    }

    private static Duration measureDomainRemoval(final long seed) {
        final VirtualFleet fleet = startLoadedFleet(seed);
        final Instant start = fleet.time().now();
        setTakenOut(fleet, true);
        Instant lastStartSeen = start;
        int startCount = 0;
        for (int step = 0; step < 1000; step++) {
            fleet.advance(POLL_INTERVAL);
            final int currentCount = fleet.upstreams().values().stream()
                    .mapToInt(FakeUpstream::startsWhileOutOfService)
                    .sum();
            lastStartSeen = currentCount > startCount ? fleet.time().now() : lastStartSeen;
            startCount = currentCount;
        }
        return Duration.between(start, lastStartSeen);
    }

    private static Duration measureMemoryRelease(final long seed) {
        final VirtualFleet fleet = startLoadedFleet(seed);
        final Incarnation dead = fleet.find("a").incarnation();
        fleet.kill("a");
        return timeUntil(
                fleet, () -> fleet.upstreams().values().stream().noneMatch(upstream -> upstream.holdsMemoryFor(dead)));
    }

    private static void setTakenOut(final VirtualFleet fleet, final boolean takenOut) {
        final Configuration current = fleet.platform().configuration();
        final FailureDomainName name = new FailureDomainName("Rundu");
        final Map<FailureDomainName, FailureDomain> domains = new HashMap<>(current.failureDomains());
        domains.put(name, new FailureDomain(name, takenOut));
        fleet.platform().apply(current.withFailureDomains(domains));
    }

    private static void printOutcomeShares(final String label, final Consumer<VirtualFleet> fault) {
        final int[] outcomeCounts = new int[FakeCallers.OutcomeKind.values().length];
        int total = 0;
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            final VirtualFleet fleet = startLoadedFleet(seed);
            final int outcomesBefore = fleet.callers().outcomes().size();
            fault.accept(fleet);
            fleet.advance(Duration.ofSeconds(60));
            final List<FakeCallers.RequestOutcome> outcomes = fleet.callers().outcomes();
            for (final FakeCallers.RequestOutcome outcome : outcomes.subList(outcomesBefore, outcomes.size())) {
                outcomeCounts[outcome.kind().ordinal()]++;
                total++;
            }
        }
        System.out.printf(
                Locale.ROOT,
                "| %s | %.2f%% | %.2f%% | %.2f%% | %.2f%% |%n",
                label,
                100.0 * outcomeCounts[FakeCallers.OutcomeKind.COMPLETED.ordinal()] / total,
                100.0 * outcomeCounts[FakeCallers.OutcomeKind.NOT_RUN.ordinal()] / total,
                100.0 * outcomeCounts[FakeCallers.OutcomeKind.MAY_HAVE_RUN.ordinal()] / total,
                100.0 * outcomeCounts[FakeCallers.OutcomeKind.CONNECTION_LOST.ordinal()] / total);
    }

    /**
     * Starts six instances with warm upstreams and schedules four requests a second. Returns at a random phase of the
     * periodic timers.
     */
    private static VirtualFleet startLoadedFleet(final long seed) {
        final VirtualFleet fleet = new VirtualFleet(seed, List.of("Rundu", "Nkurenkuru", "Divundu"), Policy.DEFAULT);
        fleet.addTeam(TEAM.value(), 10_000, 100_000);
        fleet.addModelService(4, 9, 24);
        fleet.restrictRoutes();
        fleet.applyConfiguration();
        fleet.observeAdmissions();
        List.of("a", "b", "c", "d", "e", "f").forEach(fleet::startInstance);
        fleet.advance(Duration.ofSeconds(20));
        final SplittableRandom random = new SplittableRandom(seed);
        for (int index = 0; index < 400; index++) {
            fleet.time().after(Duration.ofMillis(250L * index + random.nextInt(250)), () -> {
                final List<VirtualInstance> living = fleet.living();
                final VirtualInstance instance = living.get(random.nextInt(living.size()));
                final FakeCallers.RequestWorkload workload = new FakeCallers.RequestWorkload(300, 200, 150);
                fleet.callers().send(instance, TEAM, new ServiceSelector.ByModel(VirtualFleet.MODEL), workload);
            });
        }
        fleet.advance(Duration.ofSeconds(35).plusMillis(random.nextInt(2000)));
        return fleet;
    }

    private static Duration timeUntil(final VirtualFleet fleet, final BooleanSupplier condition) {
        final Instant start = fleet.time().now();
        while (!condition.getAsBoolean()) {
            fleet.advance(POLL_INTERVAL);
            if (fleet.time().now().isAfter(start.plus(TIMEOUT))) {
                throw new IllegalStateException("no effect within " + TIMEOUT);
            }
        }
        return Duration.between(start, fleet.time().now());
    }

    private static void printTimes(final String label, final List<Duration> times) {
        final List<Duration> sorted =
                times.stream().sorted(Comparator.naturalOrder()).toList();
        System.out.printf(
                Locale.ROOT,
                "| %s | %.2f s | %.2f s |%n",
                label,
                sorted.get(sorted.size() / 2).toMillis() / 1e3,
                sorted.getLast().toMillis() / 1e3);
    }
}
