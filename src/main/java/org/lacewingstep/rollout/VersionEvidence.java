package org.lacewingstep.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.lacewingstep.domain.AnswerCounts;
import org.lacewingstep.domain.AnswerGroup;
import org.lacewingstep.domain.RolloutPlan.Tally;
import org.lacewingstep.domain.VersionName;

/**
 * Compares the responses of a version with those of the other versions since the same order, for each route.
 *
 * @param routes the comparison on each route, not null
 * @param tally the requests to the service, not null
 */
public record VersionEvidence(Map<String, Comparison> routes, Tally tally) {
    /** Responses of the other versions before their times are compared. */
    private static final int MIN_COMPARED = 10;

    /** Classes above the median of the other versions from which a response is too slow: a factor of 2.8. */
    private static final int SLOW_CLASSES = 3;

    /** Copies the map. */
    public VersionEvidence {
        routes = Map.copyOf(routes);
    }

    /**
     * Responses of a version.
     *
     * @param answers number of responses, failed ones included
     * @param failed number of responses that failed
     * @param slow number of responses that were too slow
     */
    public record Count(long answers, long failed, long slow) {
        /** No responses. */
        public static final Count NONE = new Count(0, 0, 0);

        /**
         * Returns the number of bad responses.
         *
         * @return the number of responses that failed or were too slow
         */
        public long bad() {
            return failed + slow;
        }

        /**
         * Adds other responses.
         *
         * @param other the other responses, not null
         * @return the sum, never null
         */
        public Count plus(final Count other) {
            return new Count(answers + other.answers, failed + other.failed, slow + other.slow);
        }

        /**
         * Subtracts a part of the responses.
         *
         * @param part the part, not null
         * @return the rest, never null
         */
        public Count minus(final Count part) {
            return new Count(answers - part.answers, failed - part.failed, slow - part.slow);
        }
    }

    /**
     * Responses of the version and of the others on one route.
     *
     * @param parts responses of each part of the version's upstreams, not null
     * @param others responses of the other versions, not null
     */
    public record Comparison(Map<Integer, Count> parts, Count others) {
        /** Copies the map. */
        public Comparison {
            parts = Map.copyOf(parts);
        }

        /**
         * Counts the responses of the version.
         *
         * @return the sum over all parts, never null
         */
        public Count version() {
            return sum(parts.values());
        }

        /**
         * Counts the responses of the version without those of its worst part, which a single bad upstream may cause.
         *
         * @return the sum over the other parts, never null
         */
        public Count withoutWorstPart() {
            final Count worst = parts.values().stream()
                    .max((first, second) -> Long.compare(first.bad(), second.bad()))
                    .orElse(Count.NONE);
            return version().minus(worst);
        }

        private Comparison plus(final Comparison other) {
            final Map<Integer, Count> sums = new HashMap<>(parts);
            other.parts.forEach((part, count) -> sums.merge(part, count, Count::plus));
            return new Comparison(sums, others.plus(other.others));
        }
    }

    /**
     * Compares the responses that all instances have counted.
     *
     * @param counted the counts of each process, not null
     * @param target the version that is rolled out, not null
     * @param timed whether the times are compared; false where the versions serve at different times
     * @return the comparison, never null
     */
    public static VersionEvidence compare(
            final Collection<? extends Map<AnswerGroup, AnswerCounts>> counted,
            final VersionName target,
            final boolean timed) {
        final Map<AnswerGroup, AnswerCounts> sums = new HashMap<>();
        counted.forEach(process -> process.forEach((group, counts) -> sums.merge(group, counts, AnswerCounts::plus)));
        final Set<String> names = new HashSet<>();
        sums.keySet().forEach(group -> names.add(group.route()));
        final Map<String, Comparison> routes = new HashMap<>();
        long requests = 0;
        long exposed = 0;
        for (final String route : names) {
            final Map<Integer, AnswerCounts> parts = new HashMap<>();
            AnswerCounts others = AnswerCounts.NONE;
            for (final Map.Entry<AnswerGroup, AnswerCounts> entry : sums.entrySet()) {
                if (!entry.getKey().route().equals(route)) {
                    continue;
                }
                requests += entry.getValue().sent();
                if (entry.getKey().version().equals(target)) {
                    exposed += entry.getValue().sent();
                    parts.merge(entry.getKey().part(), entry.getValue(), AnswerCounts::plus);
                } else {
                    others = others.plus(entry.getValue());
                }
            }
            routes.put(route, comparison(parts, others, timed ? slowFrom(others) : Integer.MAX_VALUE));
        }
        final long bad = routes.values().stream()
                .mapToLong(route -> route.version().bad())
                .sum();
        return new VersionEvidence(routes, new Tally(requests, exposed, bad));
    }

    private static Comparison comparison(
            final Map<Integer, AnswerCounts> parts, final AnswerCounts others, final int slowFrom) {
        final Map<Integer, Count> counts = new HashMap<>();
        parts.forEach((part, counted) -> counts.put(part, count(counted, slowFrom)));
        return new Comparison(counts, count(others, slowFrom));
    }

    private static Count count(final AnswerCounts counts, final int slowFrom) {
        return new Count(counts.answers(), counts.failed(), counts.bad(slowFrom) - counts.failed());
    }

    private static int slowFrom(final AnswerCounts others) {
        final long served = others.answers() - others.failed();
        if (served < MIN_COMPARED) {
            return Integer.MAX_VALUE;
        }
        long below = 0;
        for (final Map.Entry<Integer, Long> entry : new TreeMap<>(others.served()).entrySet()) {
            below += entry.getValue();
            if (below * 2 >= served) {
                return entry.getKey() + SLOW_CLASSES;
            }
        }
        return Integer.MAX_VALUE;
    }

    /**
     * Adds up the routes.
     *
     * @return the comparison over all routes, never null
     */
    public Comparison total() {
        return routes.values().stream().reduce(new Comparison(Map.of(), Count.NONE), Comparison::plus);
    }

    private static Count sum(final Collection<Count> counts) {
        return counts.stream().reduce(Count.NONE, Count::plus);
    }
}
