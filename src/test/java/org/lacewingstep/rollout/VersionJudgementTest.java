package org.lacewingstep.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingstep.domain.AnswerCounts;
import org.lacewingstep.domain.AnswerGroup;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.VersionName;
import org.lacewingstep.rollout.VersionJudgement.Verdict;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the error rates of the judgement on a version. */
class VersionJudgementTest {
    private static final VersionName OLD = new VersionName("v1");
    private static final VersionName NEW = new VersionName("v2");
    private static final int ROUTES = 3;
    private static final int PARTS = 4;
    private static final int ROLLOUTS = 1000;

    private final Random random = new Random(1);

    /** Runs a rollout in which the version gives some responses and the others ten times as many. */
    private VersionJudgement judge(final int answers, final double usual, final double badShare, final int badFrom) {
        final Map<AnswerGroup, AnswerCounts> counts = new HashMap<>();
        VersionJudgement judgement = VersionJudgement.INITIAL;
        for (int i = 0; i < answers; i++) {
            count(counts, NEW, random.nextDouble() < (i < badFrom ? usual : badShare));
            for (int other = 0; other < 10; other++) {
                count(counts, OLD, random.nextDouble() < usual);
            }
            judgement = judgement.next(VersionEvidence.compare(List.of(counts), NEW, true), true);
        }
        return judgement;
    }

    private void count(final Map<AnswerGroup, AnswerCounts> counts, final VersionName version, final boolean failed) {
        final AnswerGroup group = new AnswerGroup(
                new ServiceName("ledger"), 1, version, "route-" + random.nextInt(ROUTES), random.nextInt(PARTS));
        final AnswerCounts sent = counts.getOrDefault(group, AnswerCounts.NONE).plusSent();
        counts.put(group, failed ? sent.plusFailed() : sent.plusServed(Duration.ofMillis(40)));
    }

    @ParameterizedTest
    @CsvSource({"0,0.01", "0.02,0.01", "0.1,0.01", "0.3,0.02"})
    void goodVersionIsSeldomFoundBad(final double usual, final double accepted) {
        int bad = 0;
        for (int i = 0; i < ROLLOUTS; i++) {
            bad += judge(60, usual, usual, 0).verdict() == Verdict.BAD ? 1 : 0;
        }
        assertThat(bad / (double) ROLLOUTS).isLessThanOrEqualTo(accepted);
    }

    @ParameterizedTest
    @CsvSource({"0.3,60,0", "0.5,30,0", "1,15,0", "0.5,70,40"})
    void badVersionIsSeldomAccepted(final double badShare, final int answers, final int badFrom) {
        int accepted = 0;
        for (int i = 0; i < ROLLOUTS; i++) {
            accepted += judge(answers, 0.02, badShare, badFrom).verdict() == Verdict.ACCEPTABLE ? 1 : 0;
        }
        assertThat(accepted / (double) ROLLOUTS).isLessThanOrEqualTo(0.05);
    }

    @Test
    void slowResponsesBeforeTheShiftDoNotHideFailuresAfterIt() {
        final Map<AnswerGroup, AnswerCounts> counts = new HashMap<>();
        for (int i = 0; i < 1000; i++) {
            count(counts, OLD, false);
        }
        final AnswerGroup group = new AnswerGroup(new ServiceName("ledger"), 1, NEW, "route-1", 0);
        AnswerCounts sent = AnswerCounts.NONE;
        for (int i = 0; i < 400; i++) {
            sent = sent.plusSent().plusServed(Duration.ofMillis(i % 20 == 0 ? 400 : 40));
        }
        counts.put(group, sent);
        VersionJudgement judgement =
                VersionJudgement.INITIAL.next(VersionEvidence.compare(List.of(counts), NEW, true), true);
        assertThat(judgement.verdict()).isEqualTo(Verdict.ACCEPTABLE);
        for (int i = 0; i < 15; i++) {
            sent = sent.plusSent().plusFailed();
            counts.put(group, sent);
            judgement = judgement.next(VersionEvidence.compare(List.of(counts), NEW, false), false);
        }

        assertThat(judgement.verdict()).isEqualTo(Verdict.BAD);
    }

    @Test
    void lateReportChangesNothing() {
        final AnswerCounts early = AnswerCounts.NONE.plusSent().plusServed(Duration.ofMillis(40));
        final AnswerCounts late = early.plusSent().plusFailed();

        assertThat(late.latest(early)).isEqualTo(late);
        assertThat(early.latest(late).latest(late)).isEqualTo(late);
    }
}
