package org.lacewingstep.rollout;

import java.util.HashMap;
import java.util.Map;

import org.lacewingstep.rollout.VersionEvidence.Comparison;
import org.lacewingstep.rollout.VersionEvidence.Count;

/**
 * Judges a version by a sequential test on each route and on all routes together.
 *
 * <p>The test is a cumulative sum of log-likelihood ratios between the share of bad responses of the other versions and
 * one that is larger by a tenth or twice as large, whichever is more. The sum starts anew at zero, so a version that
 * turns bad later is found as fast as one that is bad from the start. A good version reaches the limit by chance at
 * most once in {@code FALSE_ALARM_ANSWERS} responses of each test.
 *
 * @param scores the sum of each test, not null
 * @param verdict the verdict on what is known so far, not null
 */
public record VersionJudgement(Map<String, Score> scores, Verdict verdict) {
    /** The judgement before the first response. */
    public static final VersionJudgement INITIAL = new VersionJudgement(Map.of(), Verdict.OPEN);

    /** Responses in which one false alarm is accepted. */
    static final double FALSE_ALARM_ANSWERS = 10_000;

    /** Name of the test over all routes; no route has a blank name. */
    private static final String ALL_ROUTES = "";

    /** Smallest share of bad responses that is expected of any version, so that few responses do not decide. */
    private static final double MIN_BAD_SHARE = 0.02;

    /** Largest share of bad responses of the other versions with which a version can still be compared. */
    private static final double MAX_BAD_SHARE = 0.45;

    /** Difference between the shares of bad responses that has to be found while the other versions serve as well. */
    private static final double DIFFERENCE = 0.1;

    /** Difference that has to be found when only what the other versions did before is known. */
    private static final double LATER_DIFFERENCE = 0.3;

    /** Weight that earlier responses of the other versions keep from one judgement to the next. */
    private static final double RECENT_WEIGHT = 0.92;

    /** Recent responses of the other versions before their share counts beside that of all. */
    private static final int MIN_RECENT = 10;

    /** Bad responses after which nothing more is sent to the version, if clearly more than expected. */
    private static final int MAX_BAD = 50;

    /** Bad responses that more than one part of the version's upstreams has to give. */
    private static final int MIN_SPREAD_BAD = 2;

    private static final double SPREAD_FACTOR = 1.5;

    /** Responses without which a version is not accepted before the time runs out. */
    private static final int MIN_ANSWERS = 10;

    /** Part of the alarm limit above which a version is not accepted. */
    private static final double MAX_ACCEPTED_PART = 0.5;

    /** Copies the map. */
    public VersionJudgement {
        scores = Map.copyOf(scores);
    }

    /** What the responses show. */
    public enum Verdict {
        /** Too few responses to tell. */
        OPEN,
        /** No sign that the version is worse than the others. */
        ACCEPTABLE,
        /** The version is worse than the others. */
        BAD
    }

    /**
     * The cumulative sum of one test and the responses that it includes.
     *
     * @param value the sum, from zero
     * @param seen the responses that the sum includes, not null
     * @param others the responses of the other versions that were known, not null
     * @param recentAnswers weighted number of recent responses of the other versions
     * @param recentBad weighted number of recent bad responses of the other versions
     */
    public record Score(double value, Count seen, Count others, double recentAnswers, double recentBad) {
        static final Score NONE = new Score(0, Count.NONE, Count.NONE, 0, 0);

        private Score withOthers(final Count known) {
            final Count added = known.minus(others);
            return new Score(
                    value,
                    seen,
                    known,
                    recentAnswers * RECENT_WEIGHT + Math.max(0, added.answers()),
                    recentBad * RECENT_WEIGHT + Math.max(0, added.failed()) + Math.max(0, added.slow()));
        }

        /** Computes the share of bad responses of the other versions, of all or of recent ones, whichever is larger. */
        private double expectedBadShare() {
            final double all = others.answers() == 0 ? 0 : others.bad() / (double) others.answers();
            final double recent = recentAnswers < MIN_RECENT ? 0 : recentBad / recentAnswers;
            return Math.max(MIN_BAD_SHARE, Math.min(MAX_BAD_SHARE, Math.max(all, recent)));
        }
    }

    /**
     * Continues the judgement with the responses known now.
     *
     * @param evidence the responses, not null
     * @param probing whether the version receives a small share only, so that a smaller difference decides
     * @return the next judgement, never null
     */
    public VersionJudgement next(final VersionEvidence evidence, final boolean probing) {
        final Map<String, Comparison> tests = new HashMap<>(evidence.routes());
        final Comparison total = evidence.total();
        tests.put(ALL_ROUTES, total);
        final double limit = Math.log(FALSE_ALARM_ANSWERS * tests.size());
        final Map<String, Score> next = new HashMap<>();
        boolean bad = verdict == Verdict.BAD;
        boolean acceptable = total.version().answers() >= MIN_ANSWERS;
        for (final Map.Entry<String, Comparison> test : tests.entrySet()) {
            final Score score =
                    advance(scores.getOrDefault(test.getKey(), Score.NONE), test.getValue(), limit, probing);
            next.put(test.getKey(), score);
            final boolean spread = isSpread(test.getValue(), score.expectedBadShare());
            bad |= score.value() >= limit && spread;
            acceptable &= score.value() < limit * MAX_ACCEPTED_PART || !spread;
        }
        bad |= hasManyBad(total, next.get(ALL_ROUTES).expectedBadShare(), probing);
        final Verdict known = acceptable ? Verdict.ACCEPTABLE : Verdict.OPEN;
        return new VersionJudgement(next, bad ? Verdict.BAD : known);
    }

    /**
     * Returns whether the version has given a good response.
     *
     * @return true if at least one response was neither a failure nor too slow
     */
    public boolean hasGoodAnswers() {
        final Count seen = scores.getOrDefault(ALL_ROUTES, Score.NONE).seen();
        return seen.answers() > seen.bad();
    }

    private static Score advance(
            final Score known, final Comparison comparison, final double limit, final boolean probing) {
        final Score score = known.withOthers(comparison.others());
        final Count version = comparison.version();
        final Count added = version.minus(score.seen());
        // Slow responses are not counted at every stage; failures are, so each kind is compared with its own number.
        final long bad = Math.max(0, added.failed()) + Math.max(0, added.slow());
        final long good = Math.max(0, added.answers() - bad);
        final double expected = score.expectedBadShare();
        final double suspected = expected + Math.max(probing ? DIFFERENCE : LATER_DIFFERENCE, expected);
        final double sum = score.value()
                + bad * Math.log(suspected / expected)
                + good * Math.log((1 - suspected) / (1 - expected));
        final Count seen = new Count(
                Math.max(version.answers(), score.seen().answers()),
                Math.max(version.failed(), score.seen().failed()),
                Math.max(version.slow(), score.seen().slow()));
        return new Score(
                Math.max(0, Math.min(2 * limit, sum)), seen, score.others(), score.recentAnswers(), score.recentBad());
    }

    /** Returns whether the bad responses come from more than one part of the upstreams, if there are more. */
    private static boolean isSpread(final Comparison comparison, final double expected) {
        if (comparison.parts().size() < 2) {
            return true;
        }
        final Count rest = comparison.withoutWorstPart();
        return rest.bad() >= MIN_SPREAD_BAD && rest.bad() >= SPREAD_FACTOR * expected * rest.answers();
    }

    private static boolean hasManyBad(final Comparison total, final double expected, final boolean probing) {
        final Count version = total.version();
        final double factor = probing ? SPREAD_FACTOR : 2;
        return version.bad() >= MAX_BAD && version.bad() >= factor * expected * version.answers();
    }
}
