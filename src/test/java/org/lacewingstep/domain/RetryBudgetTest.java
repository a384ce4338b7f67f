package org.lacewingstep.domain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that retries in any window stay within the retry budget. */
class RetryBudgetTest {
    private static final double ALLOWANCE = 8;
    /** What may be spent at once; no more than the rest may accrue in a window. */
    private static final double CAPACITY = 6;

    private static final double EARNED_SHARE = 0.2;
    private static final Duration WINDOW = Duration.ofSeconds(10);

    /** Credits accumulated before a window, up to one capacity, may be spent in the window as well. */
    @Property(seed = "42")
    void retriesInAWindowAreBounded(@ForAll @Size(min = 1, max = 300) final int[] pauses) {
        RetryBudget budget = RetryBudget.NONE.withAllowance(ALLOWANCE, WINDOW, Instant.EPOCH);
        Instant now = Instant.EPOCH;
        final List<Instant> retries = new ArrayList<>();
        final List<Instant> firstAttempts = new ArrayList<>();
        for (final int pause : pauses) {
            now = now.plusMillis(Math.floorMod(pause, 400));
            budget = budget.withAllowance(ALLOWANCE, WINDOW, now).earn(EARNED_SHARE);
            firstAttempts.add(now);
            if (budget.permitsRetry()) {
                budget = budget.reserve().send();
                retries.add(now);
            }
        }
        for (final Instant start : retries) {
            final Instant end = start.plus(WINDOW);
            final long retryCount =
                    retries.stream().filter(at -> isWithin(at, start, end)).count();
            final long firstAttemptCount = firstAttempts.stream()
                    .filter(at -> isWithin(at, start, end))
                    .count();
            assertThat((double) retryCount).isLessThanOrEqualTo(ALLOWANCE + EARNED_SHARE * firstAttemptCount + 1e-6);
        }
    }

    /** Retries that were decided before a window and sent in it take the place of those that it could decide. */
    @Property(seed = "42")
    void retriesThatWaitedAreBoundedInEveryWindow(@ForAll @Size(min = 1, max = 300) final int[] pauses) {
        RetryBudget budget = RetryBudget.NONE.withAllowance(ALLOWANCE, WINDOW, Instant.EPOCH);
        Instant now = Instant.EPOCH;
        final List<Instant> retries = new ArrayList<>();
        for (final int pause : pauses) {
            now = now.plusMillis(Math.floorMod(pause, 400));
            budget = budget.withAllowance(ALLOWANCE, WINDOW, now);
            budget = budget.permitsRetry() ? budget.reserve() : budget;
            if (budget.reserved() > 0 && now.toEpochMilli() % 8000 > 6000) {
                budget = budget.send();
                retries.add(now);
            }
        }
        for (final Instant start : retries) {
            final Instant end = start.plus(WINDOW);
            assertThat((double) retries.stream()
                            .filter(at -> isWithin(at, start, end))
                            .count())
                    .isLessThanOrEqualTo(ALLOWANCE + 1e-6);
        }
    }

    @Property(seed = "42")
    void timeAddsNoMoreThanTheCapacity(@ForAll @IntRange(max = 1000) final int seconds) {
        final RetryBudget budget = RetryBudget.NONE
                .withAllowance(ALLOWANCE, WINDOW, Instant.EPOCH)
                .withAllowance(ALLOWANCE, WINDOW, Instant.EPOCH.plusSeconds(seconds));

        assertThat(budget.credits()).isLessThanOrEqualTo(CAPACITY);
    }

    @Property(seed = "42")
    void emptyBudgetAccruesNoMoreThanTheRestOfTheAllowanceInAWindow(@ForAll @IntRange(max = 10) final int seconds) {
        final RetryBudget budget = RetryBudget.NONE
                .withAllowance(ALLOWANCE, WINDOW, Instant.EPOCH)
                .withoutCredits()
                .withAllowance(ALLOWANCE, WINDOW, Instant.EPOCH.plusSeconds(seconds));

        assertThat(budget.credits()).isLessThanOrEqualTo(ALLOWANCE - CAPACITY + 1e-9);
    }

    private static boolean isWithin(final Instant time, final Instant start, final Instant end) {
        return !time.isBefore(start) && time.isBefore(end);
    }
}
