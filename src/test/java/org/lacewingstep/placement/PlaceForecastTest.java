package org.lacewingstep.placement;

import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.lacewingstep.domain.Demand;
import org.lacewingstep.domain.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the forecast of a place. */
class PlaceForecastTest {
    private static final Urgency FIRST = new Urgency(0);
    private static final Urgency LAST = new Urgency(2);
    private static final Duration PERIOD = Duration.ofSeconds(2);

    @Test
    void callWaitsForTheCallsAheadOfItAtTheRateThatIsLeftForIt() {
        final ServiceDemand demand = new ServiceDemand(
                Map.of(
                        FIRST,
                        new Demand(2, 8000, 20_000, 0),
                        LAST,
                        new Demand(3, 12_000, 200_000, 0),
                        Urgency.DEFAULT,
                        new Demand(0, 0, 0, 100_000)),
                PERIOD);

        assertThat(PlaceForecast.timeToPlace(demand, FIRST, true, 2000)).contains(Duration.ofMillis(200));
        assertThat(PlaceForecast.timeToPlace(demand, LAST, true, 4000)).contains(Duration.ofMillis(600));
        assertThat(PlaceForecast.timeToPlace(demand, LAST, false, 4000)).contains(Duration.ofMillis(300));
    }

    @Test
    void leastUrgentCallsKeepAShareHoweverManyUrgentOnesArrive() {
        final ServiceDemand demand = new ServiceDemand(
                Map.of(FIRST, new Demand(0, 0, 400_000, 0), LAST, new Demand(0, 0, 0, 100_000)), PERIOD);

        assertThat(PlaceForecast.timeToPlace(demand, LAST, true, 6250)).contains(Duration.ofSeconds(1));
    }

    @Test
    void nothingIsForecastWhileNoMemoryIsReturned() {
        final ServiceDemand demand = new ServiceDemand(Map.of(FIRST, new Demand(9, 9000, 9000, 0)), PERIOD);

        assertThat(PlaceForecast.timeToPlace(demand, LAST, true, 100)).isEmpty();
    }
}
