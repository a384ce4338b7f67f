package org.lacewingstep.placement;

import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.lacewingstep.domain.SpeedSum;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/** Tests forecasts of the time that work takes at an upstream. */
class UpstreamForecastTest {
    private static final SpeedSum SERVICE = sum(60, 0.05);

    @Test
    void unknownAndUsualUpstreamsAreEquallyFast() {
        assertThat(UpstreamForecast.slowness(SpeedSum.NONE, SERVICE)).isEqualTo(1);
        assertThat(UpstreamForecast.slowness(SERVICE, SpeedSum.NONE)).isEqualTo(1);
        assertThat(UpstreamForecast.slowness(sum(20, 0.054), SERVICE)).isEqualTo(1);
    }

    @Test
    void slownessGrowsWithTheSamplesThatShowIt() {
        final double oneSample = UpstreamForecast.slowness(sum(1, 0.1), SERVICE);
        final double manySamples = UpstreamForecast.slowness(sum(30, 0.1), SERVICE);

        assertThat(oneSample).isBetween(1.1, 1.5);
        assertThat(manySamples).isBetween(1.6, 2.0);
        assertThat(UpstreamForecast.slowness(sum(30, 0.025), SERVICE)).isBetween(0.5, 0.65);
    }

    @Test
    void slownessIsBoundedSoThatASlowUpstreamIsTriedAgain() {
        assertThat(UpstreamForecast.slowness(sum(50, 50), SERVICE)).isEqualTo(UpstreamForecast.MAX_SLOWNESS);
    }

    @Test
    void unitTimeOfAnUnknownUpstreamIsThatOfItsService() {
        assertThat(UpstreamForecast.secondsPerUnit(SpeedSum.NONE, SERVICE)).isCloseTo(0.05, within(1e-9));
        assertThat(UpstreamForecast.secondsPerUnit(SpeedSum.NONE, SpeedSum.NONE))
                .isZero();
    }

    private static SpeedSum sum(final int samples, final double seconds) {
        return new SpeedSum(samples, samples, samples * Math.log(seconds), Instant.EPOCH);
    }
}
