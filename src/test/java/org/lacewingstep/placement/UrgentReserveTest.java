package org.lacewingstep.placement;

import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.lacewingstep.domain.Demand;
import org.lacewingstep.domain.Urgency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/** Tests how much memory less urgent calls leave free. */
class UrgentReserveTest {
    private static final Urgency FIRST = new Urgency(0);
    private static final Urgency MIDDLE = new Urgency(1);
    private static final Urgency LAST = new Urgency(2);
    private static final Duration REPORT_DELAY = Duration.ofSeconds(1);

    @Test
    void lessUrgentCallsLeaveMoreFree() {
        final ServiceDemand demand = demand(new Demand(1, 4000, 80_000, 0), new Demand(0, 0, 160_000, 0));

        assertThat(fraction(demand, FIRST, true)).isZero();
        assertThat(fraction(demand, MIDDLE, true)).isEqualTo((4000 + 2 * Math.sqrt(10) * 4000) / 1e6, within(1e-9));
        assertThat(fraction(demand, LAST, true)).isEqualTo((4000 + 2 * Math.sqrt(30) * 4000) / 1e6, within(1e-9));
    }

    @Test
    void lateCallYieldsToEquallyUrgentOnes() {
        final ServiceDemand demand = demand(new Demand(0, 0, 80_000, 0), Demand.NONE);

        assertThat(fraction(demand, FIRST, false)).isEqualTo(2 * Math.sqrt(10) * 4000 / 1e6, within(1e-9));
    }

    @Test
    void reserveCoversTheTimeInWhichAPlaceComesFree() {
        final ServiceDemand demand = demand(new Demand(0, 0, 80_000, 8000), Demand.NONE);

        assertThat(fraction(demand, LAST, true)).isEqualTo(2 * Math.sqrt(20) * 4000 / 1e6, within(1e-9));
    }

    @Test
    void leastUrgentCallsKeepHalfOfTheMemory() {
        assertThat(fraction(demand(new Demand(900, 9_000_000, 0, 0), Demand.NONE), LAST, true))
                .isEqualTo(0.5);
    }

    private static ServiceDemand demand(final Demand first, final Demand middle) {
        return new ServiceDemand(Map.of(FIRST, first, MIDDLE, middle), Duration.ofSeconds(2));
    }

    private static double fraction(final ServiceDemand demand, final Urgency urgency, final boolean onTime) {
        return UrgentReserve.fraction(demand, urgency, onTime, 4000, REPORT_DELAY, 1_000_000);
    }
}
