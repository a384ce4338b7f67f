package org.lacewingstep.domain;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/** Tests the decaying sums of measured durations. */
class SpeedSumTest {
    private static final Instant START = Instant.EPOCH.plusSeconds(100);

    @Test
    void pauseOfHalfASecondChangesTheMeanLittle() {
        SpeedSum sum = samples(SpeedSum.NONE, 40, 0.04, START);
        for (int i = 0; i < 3; i++) {
            sum = sum.plusSample(sum.limit(0.54), START);
        }

        assertThat(sum.mean(0.04)).isBetween(0.04, 0.05);
    }

    @Test
    void lastingChangeIsFollowedWithinTwoHalfLives() {
        SpeedSum sum = samples(SpeedSum.NONE, 8, 0.04, START);
        for (int second = 1; second <= 8; second++) {
            final Instant now = START.plusSeconds(second);
            sum = sum.plusSample(sum.at(now).limit(0.1), now);
        }

        assertThat(sum.mean(0.04)).isGreaterThan(0.07);
    }

    @Test
    void weightHalvesInAHalfLifeAndStaysWhenTheClockGoesBack() {
        final SpeedSum sum = samples(SpeedSum.NONE, 8, 0.04, START);

        assertThat(sum.at(START.plus(SpeedSum.HALF_LIFE)).weight()).isCloseTo(4, within(1e-9));
        assertThat(sum.at(START.minusSeconds(50)).weight()).isEqualTo(8);
        assertThat(sum.at(START.plus(Duration.ofDays(1))).mean(0.07)).isCloseTo(0.07, within(1e-9));
    }

    @Test
    void subtractedSumLeavesTheOther() {
        final SpeedSum first = samples(SpeedSum.NONE, 5, 0.04, START);
        final SpeedSum second = samples(SpeedSum.NONE, 7, 0.4, START);
        final Instant later = START.plusSeconds(3);

        final SpeedSum rest = first.plus(second, START).minus(second, later);

        assertThat(rest.weight()).isCloseTo(first.at(later).weight(), within(1e-9));
        assertThat(rest.logSum()).isCloseTo(first.at(later).logSum(), within(1e-9));
    }

    private static SpeedSum samples(final SpeedSum sum, final int count, final double seconds, final Instant now) {
        SpeedSum result = sum;
        for (int i = 0; i < count; i++) {
            result = result.plusSample(seconds, now);
        }
        return result;
    }
}
