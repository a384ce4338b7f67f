package org.lacewingstep.scenario;

import java.util.List;

/** What the steps of one scenario share. */
public class ScenarioWorld {
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

    int recentStartsWhileLeaving() {
        return startsWhileLeaving() - startsBefore;
    }

    void setAside() {
        answersBefore = fleet.callers().answers().size();
        startsBefore = startsWhileLeaving();
    }

    private int startsWhileLeaving() {
        return fleet.upstreams().values().stream()
                .mapToInt(FakeUpstream::startsWhileLeaving)
                .sum();
    }
}
