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

/** Tests that repeats stay within their credit in every window. */
class RetryCreditTest {
    private static final double ALLOWANCE = 8;
    private static final double SHARE = 0.2;
    private static final Duration WINDOW = Duration.ofSeconds(10);

    /** The credit kept from before a window was earned before it, so a window may see one capacity more. */
    @Property(seed = "42")
    void repeatsInAWindowAreBounded(@ForAll @Size(min = 1, max = 300) final int[] pauses) {
        RetryCredit credit = RetryCredit.NONE.under(ALLOWANCE, WINDOW, Instant.EPOCH);
        Instant now = Instant.EPOCH;
        final List<Instant> repeats = new ArrayList<>();
        final List<Instant> firsts = new ArrayList<>();
        for (final int pause : pauses) {
            now = now.plusMillis(Math.floorMod(pause, 400));
            credit = credit.under(ALLOWANCE, WINDOW, now).earn(SHARE);
            firsts.add(now);
            if (credit.affordsOne()) {
                credit = credit.spend();
                repeats.add(now);
            }
        }
        for (final Instant start : repeats) {
            final Instant end = start.plus(WINDOW);
            final long sent =
                    repeats.stream().filter(at -> isWithin(at, start, end)).count();
            final long earned =
                    firsts.stream().filter(at -> isWithin(at, start, end)).count();
            assertThat((double) sent).isLessThanOrEqualTo(ALLOWANCE + SHARE * earned + 1e-6);
        }
    }

    @Property(seed = "42")
    void timeAddsNoMoreThanTheCapacity(@ForAll @IntRange(max = 1000) final int seconds) {
        final RetryCredit credit = RetryCredit.NONE
                .under(ALLOWANCE, WINDOW, Instant.EPOCH)
                .under(ALLOWANCE, WINDOW, Instant.EPOCH.plusSeconds(seconds));

        assertThat(credit.credits()).isLessThanOrEqualTo(ALLOWANCE / 2);
    }

    private static boolean isWithin(final Instant at, final Instant start, final Instant end) {
        return !at.isBefore(start) && at.isBefore(end);
    }
}
