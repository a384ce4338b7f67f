package org.lacewingstep.controller;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.controller.RolloutFleet.Response;
import org.lacewingstep.domain.RolloutPlan.Stage;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what the times of the responses tell of a version. */
class RolloutTimeTest {
    private static final Duration LIMIT = Duration.ofSeconds(15);

    private static void runRollout(final RolloutFleet fleet) {
        fleet.run(Duration.ofSeconds(2));
        fleet.order(RolloutFleet.NEW, LIMIT);
        fleet.startUpstreams(RolloutFleet.NEW, "new-");
        fleet.run(LIMIT);
    }

    @ParameterizedTest
    @CsvSource({"1,6,60", "2,6,200", "3,20,200", "4,20,400", "5,6,400"})
    void goodVersionWithScatteredTimesSucceeds(final long seed, final int instances, final double perSecond) {
        final RolloutFleet fleet = new RolloutFleet(instances, perSecond, seed);
        fleet.respond((upstream, path, at) -> new Response(new CallResult.Served(), Duration.ofMillis((long)
                (40 * Math.exp(fleet.random().nextGaussian())))));
        runRollout(fleet);

        assertThat(fleet.stages()).containsExactly(Stage.PROBING, Stage.SHIFTING, Stage.SUCCEEDED);
    }
}
