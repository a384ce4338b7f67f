package org.lacewingstep.scenario;

import java.util.List;

/** Holds the fleet of one scenario, and the outcomes and counts that its checks exclude. */
public class ScenarioWorld {
    private int excludedAccepted;
    private int excludedOutcomes;
    private VirtualFleet fleet;
    private int excludedStarts;

    void setFleet(final VirtualFleet created) {
        fleet = created;
    }

    VirtualFleet fleet() {
        return fleet;
    }

    List<FakeCallers.RequestOutcome> recentOutcomes() {
        final List<FakeCallers.RequestOutcome> outcomes = fleet.callers().outcomes();
        return outcomes.subList(excludedOutcomes, outcomes.size());
    }

    int recentAccepted() {
        return accepted() - excludedAccepted;
    }

    int recentStartsWhileOutOfService() {
        return startsWhileOutOfService() - excludedStarts;
    }

    void excludeEarlierOutcomes() {
        excludedOutcomes = fleet.callers().outcomes().size();
        excludedAccepted = accepted();
        excludedStarts = startsWhileOutOfService();
    }

    private int accepted() {
        return fleet.upstreams().values().stream()
                .mapToInt(FakeUpstream::accepted)
                .sum();
    }

    private int startsWhileOutOfService() {
        return fleet.upstreams().values().stream()
                .mapToInt(FakeUpstream::startsWhileOutOfService)
                .sum();
    }
}
