package org.lacewingstep.rollout;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingstep.domain.RolloutBounds;
import org.lacewingstep.domain.RolloutPlan.Tally;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the draws of all instances together stay within the exposure, with reports that come late. */
class ExposureShareTest {
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final int TICKS_PER_SECOND = 10;
    private static final int DELAY_TICKS = 20;
    private static final int RUNS = 500;

    private final Random random = new Random(1);

    @ParameterizedTest
    @CsvSource({
        "0.1,50,5",
        "0.1,50,30",
        "0.1,50,300",
        "0.1,16,30",
        "0.1,16,300",
        "0.05,5,30",
        "0.05,5,300",
        "0.3,50,300",
        "0.1,1000,30",
        "1,0,30"
    })
    void drawsStayWithinTheExposure(final double share, final double slack, final double perSecond) {
        final RolloutBounds bounds = new RolloutBounds(share, slack, Duration.ofSeconds(5));
        int broken = 0;
        for (int i = 0; i < RUNS; i++) {
            final Tally tally = run(bounds, perSecond);
            broken += tally.exposed() > share * tally.requests() + slack ? 1 : 0;
        }
        assertThat(broken).isZero();
    }

    private Tally run(final RolloutBounds bounds, final double perSecond) {
        final Deque<Tally> reports = new ArrayDeque<>();
        long requests = 0;
        long exposed = 0;
        for (int tick = 0; tick < LIMIT.toSeconds() * TICKS_PER_SECOND; tick++) {
            reports.add(new Tally(requests, exposed, 0));
            final Tally known = reports.size() > DELAY_TICKS ? reports.poll() : Tally.NONE;
            final double drawn =
                    ExposureShare.of(bounds, known, Duration.ofMillis(tick * 1000L / TICKS_PER_SECOND), LIMIT);
            final long arrivals =
                    Math.round(perSecond / TICKS_PER_SECOND + random.nextGaussian() * Math.sqrt(perSecond) / 10);
            for (long i = 0; i < arrivals; i++) {
                requests++;
                exposed += random.nextDouble() < drawn ? 1 : 0;
            }
        }
        return new Tally(requests, exposed, 0);
    }

    @Test
    void nothingIsDrawnOnceTheSlackIsUsedUp() {
        final RolloutBounds bounds = new RolloutBounds(0.1, 50, Duration.ofSeconds(5));

        assertThat(ExposureShare.of(bounds, new Tally(100, 45, 0), Duration.ofSeconds(5), LIMIT))
                .isZero();
        assertThat(ExposureShare.of(bounds, new Tally(100, 10, 0), Duration.ofSeconds(5), LIMIT))
                .isPositive();
    }
}
