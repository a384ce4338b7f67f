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

/** Measures over seeds how long operators' changes and deaths take to have effect, and what callers see meanwhile. */
public final class EffectTimes {
    private static final Duration LONGEST = Duration.ofSeconds(60);
    private static final int SEEDS = 20;
    private static final Duration STEP = Duration.ofMillis(5);
    private static final TeamName TEAM = new TeamName("weavers");

    private EffectTimes() {}

    /**
     * Runs the measurements.
     *
     * @param arguments none
     */
    public static void main(final String... arguments) {
        final List<Duration> withdrawals = new ArrayList<>();
        final List<Duration> domains = new ArrayList<>();
        final List<Duration> orphans = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            withdrawals.add(withdrawal(seed));
            domains.add(domainOut(seed));
            orphans.add(orphan(seed));
        }
        print("a withdrawn key is refused by every instance", withdrawals);
        print("the last start in a failure domain taken out", domains);
        print("memory of a killed instance's requests is free", orphans);
        printService("no fault", fleet -> {});
        printService("an instance is killed", fleet -> fleet.kill("a"));
        printService("a decode upstream fails", fleet -> fleet.upstreams().values().stream()
                .filter(upstream -> upstream.upstream().name().value().equals("decode-0"))
                .forEach(upstream -> upstream.setDown(true)));
        printService("a failure domain is taken out", fleet -> takeOut(fleet, true));
        printService("a failure domain is taken out and brought back after 10 s", fleet -> {
            takeOut(fleet, true);
            fleet.time().after(Duration.ofSeconds(10), () -> takeOut(fleet, false));
        });
        printService("the store goes down", fleet -> fleet.platform().setStoreDown(true));
    }

    private static Duration withdrawal(final long seed) {
        final VirtualFleet fleet = start(seed);
        fleet.platform().apply(fleet.platform().configuration().withKeys(Map.of()));
        final long generation = fleet.platform().configuration().generation();
        return until(fleet, () -> fleet.living().stream()
                .allMatch(instance -> instance.board().configuration().inForce().generation() == generation));
    }

    private static Duration domainOut(final long seed) {
        final VirtualFleet fleet = start(seed);
        final Instant begin = fleet.time().now();
        takeOut(fleet, true);
        Instant last = begin;
        int starts = 0;
        for (int step = 0; step < 1000; step++) {
            fleet.pass(STEP);
            final int now = fleet.upstreams().values().stream()
                    .mapToInt(FakeUpstream::startsWhileLeaving)
                    .sum();
            last = now > starts ? fleet.time().now() : last;
            starts = now;
        }
        return Duration.between(begin, last);
    }

    private static Duration orphan(final long seed) {
        final VirtualFleet fleet = start(seed);
        final Incarnation dead = fleet.find("a").incarnation();
        fleet.kill("a");
        return until(fleet, () -> fleet.upstreams().values().stream().noneMatch(upstream -> upstream.holdsFor(dead)));
    }

    private static void takeOut(final VirtualFleet fleet, final boolean isOut) {
        final Configuration current = fleet.platform().configuration();
        final FailureDomainName name = new FailureDomainName("Rundu");
        final Map<FailureDomainName, FailureDomain> domains = new HashMap<>(current.failureDomains());
        domains.put(name, new FailureDomain(name, isOut));
        fleet.platform().apply(current.withFailureDomains(domains));
    }

    private static void printService(final String what, final Consumer<VirtualFleet> fault) {
        final int[] counts = new int[FakeCallers.Kind.values().length];
        int all = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            final VirtualFleet fleet = start(seed);
            final int before = fleet.callers().answers().size();
            fault.accept(fleet);
            fleet.pass(Duration.ofSeconds(60));
            final List<FakeCallers.Answer> answers = fleet.callers().answers();
            for (final FakeCallers.Answer answer : answers.subList(before, answers.size())) {
                counts[answer.kind().ordinal()]++;
                all++;
            }
        }
        System.out.printf(
                Locale.ROOT,
                "| %s | %.2f%% | %.2f%% | %.2f%% | %.2f%% |%n",
                what,
                100.0 * counts[FakeCallers.Kind.ANSWERED.ordinal()] / all,
                100.0 * counts[FakeCallers.Kind.NOT_RUN.ordinal()] / all,
                100.0 * counts[FakeCallers.Kind.MAY_HAVE_RUN.ordinal()] / all,
                100.0 * counts[FakeCallers.Kind.CONNECTION_LOST.ordinal()] / all);
    }

    /** Six instances with warm upstreams under four requests a second for seventy seconds, at a random phase. */
    private static VirtualFleet start(final long seed) {
        final VirtualFleet fleet = new VirtualFleet(seed, List.of("Rundu", "Nkurenkuru", "Divundu"), Policy.DEFAULT);
        fleet.addTeam(TEAM.value(), 10_000, 100_000);
        fleet.addModelService(4, 9, 24);
        fleet.closeRoutes();
        fleet.applyConfiguration();
        fleet.observeAdmissions();
        List.of("a", "b", "c", "d", "e", "f").forEach(fleet::startInstance);
        fleet.pass(Duration.ofSeconds(20));
        final SplittableRandom random = new SplittableRandom(seed);
        for (int index = 0; index < 400; index++) {
            fleet.time().after(Duration.ofMillis(250L * index + random.nextInt(250)), () -> {
                final List<VirtualInstance> living = fleet.living();
                final VirtualInstance instance = living.get(random.nextInt(living.size()));
                final FakeCallers.Work work = new FakeCallers.Work(300, 200, 150);
                fleet.callers().send(instance, TEAM, new ServiceSelector.ByModel(VirtualFleet.MODEL), work);
            });
        }
        fleet.pass(Duration.ofSeconds(35).plusMillis(random.nextInt(2000)));
        return fleet;
    }

    private static Duration until(final VirtualFleet fleet, final BooleanSupplier condition) {
        final Instant begin = fleet.time().now();
        while (!condition.getAsBoolean()) {
            fleet.pass(STEP);
            if (fleet.time().now().isAfter(begin.plus(LONGEST))) {
                throw new IllegalStateException("no effect within " + LONGEST);
            }
        }
        return Duration.between(begin, fleet.time().now());
    }

    private static void print(final String what, final List<Duration> times) {
        final List<Duration> sorted =
                times.stream().sorted(Comparator.naturalOrder()).toList();
        System.out.printf(
                Locale.ROOT,
                "| %s | %.2f s | %.2f s |%n",
                what,
                sorted.get(sorted.size() / 2).toMillis() / 1e3,
                sorted.getLast().toMillis() / 1e3);
    }
}
