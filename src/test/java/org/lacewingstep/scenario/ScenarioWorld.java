package org.lacewingstep.scenario;

import java.util.List;

/** What the steps of one scenario share. */
public class ScenarioWorld {
    private int acceptedBefore;
    private int answersBefore;
    private VirtualFleet fleet;
    private int startsBefore;

    void begin(final VirtualFleet created) {
        fleet = created;
    }

    VirtualFleet fleet() {
        return fleet;
    }

    List<FakeCallers.Answer> recent() {
        final List<FakeCallers.Answer> answers = fleet.callers().answers();
        return answers.subList(answersBefore, answers.size());
    }

    int recentlyAccepted() {
        return accepted() - acceptedBefore;
    }

    int recentStartsWhileLeaving() {
        return startsWhileLeaving() - startsBefore;
    }

    void setAside() {
        answersBefore = fleet.callers().answers().size();
        acceptedBefore = accepted();
        startsBefore = startsWhileLeaving();
    }

    private int accepted() {
        return fleet.upstreams().values().stream()
                .mapToInt(FakeUpstream::accepted)
                .sum();
    }

    private int startsWhileLeaving() {
        return fleet.upstreams().values().stream()
                .mapToInt(FakeUpstream::startsWhileLeaving)
                .sum();
    }
}
