package org.lacewingstep.scenario;

import java.time.Duration;

import io.cucumber.java.en.Then;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.scenario.FakeCallers.OutcomeKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Defines the steps that check the outcomes of a scenario. */
public class OutcomeSteps {
    private final ScenarioWorld world;

    /**
     * Creates the steps of one scenario.
     *
     * @param world the state that the steps of the scenario share, not null
     */
    public OutcomeSteps(final ScenarioWorld world) {
        this.world = world;
    }

    @Then("no team has received more than its rate and burst")
    public void checkBudgets() {
        world.fleet().teams().values().forEach(team -> assertThat(
                        world.fleet().callers().ledger().largestExcess(team))
                .as("tokens over rate and burst of %s", team.name())
                .isLessThanOrEqualTo(0));
    }

    @Then("no two instances held the same budget or cell")
    public void checkHolders() {
        assertThat(world.fleet().duplicateHolderCheck().conflicts()).isEmpty();
    }

    @Then("no engine memory was overcommitted")
    public void checkMemory() {
        world.fleet().upstreams().values().forEach(upstream -> assertThat(upstream.memoryOvercommits())
                .as("overcommits at %s", upstream.upstream().name())
                .isZero());
    }

    @Then("no upstream exceeded its cold-start limit")
    public void checkColdStartLimit() {
        world.fleet().upstreams().values().forEach(upstream -> assertThat(upstream.coldOverloads())
                .as(
                        "attempts over the cold-start limit at %s",
                        upstream.upstream().name())
                .isZero());
    }

    @Then("no upstream exceeded its cold-start limit after its load report could arrive")
    public void checkColdStartLimitAfterDetection() {
        world.fleet().upstreams().values().forEach(upstream -> assertThat(upstream.coldOverloadsAfterDetection())
                .as(
                        "attempts over the cold-start limit at %s",
                        upstream.upstream().name())
                .isZero());
    }

    @Then("no engine memory is held and no capacity is reserved")
    public void checkReleased() {
        world.fleet().upstreams().values().forEach(upstream -> assertThat(upstream.running())
                .as("running at %s", upstream.upstream().name())
                .isZero());
        world.fleet()
                .living()
                .forEach(instance -> instance.board().cells().cells().forEach((cell, state) -> assertThat(
                                state.reservations())
                        .as("reservations of %s at %s", cell, instance.name())
                        .isEmpty()));
    }

    @Then("at least {double} percent of the requests of team {string} were completed")
    public void checkCompleted(final double percent, final String team) {
        final long total = countRecent(team);
        final long completed = countRecentOfKind(team, OutcomeKind.COMPLETED);
        assertThat(total).isPositive();
        assertThat(100.0 * completed / total)
                .as("percent completed of %s requests", total)
                .isGreaterThanOrEqualTo(percent);
    }

    @Then("the completed requests of team {string} took less than {int} seconds")
    public void checkDuration(final String team, final int seconds) {
        assertThat(world.recentOutcomes())
                .filteredOn(
                        outcome -> outcome.team().equals(new TeamName(team)) && outcome.kind() == OutcomeKind.COMPLETED)
                .isNotEmpty()
                .allMatch(outcome ->
                        Duration.between(outcome.sentAt(), outcome.endedAt()).toSeconds() < seconds);
    }

    @Then("at most {double} percent of the requests of team {string} were wrongfully refused")
    public void checkWrongfullyRefused(final double percent, final String team) {
        final long total = countRecent(team);
        final long wrongful = world.recentOutcomes().stream()
                .filter(outcome -> outcome.team().equals(new TeamName(team)) && outcome.wrongfullyRefused())
                .count();
        assertThat(total).isPositive();
        assertThat(100.0 * wrongful / total)
                .as("percent wrongfully refused of %s requests", total)
                .isLessThanOrEqualTo(percent);
    }

    @Then("no request of team {string} was run")
    public void checkNoneRun(final String team) {
        assertThat(countRecent(team)).isPositive();
        assertThat(countRecentOfKind(team, OutcomeKind.NOT_RUN)).isEqualTo(countRecent(team));
    }

    @Then("every request of team {string} was refused with {string}")
    public void checkRefusedWith(final String team, final String code) {
        assertThat(world.recentOutcomes())
                .filteredOn(outcome -> outcome.team().equals(new TeamName(team)))
                .isNotEmpty()
                .allMatch(outcome -> outcome.kind() == OutcomeKind.NOT_RUN
                        && outcome.code().orElseThrow().name().equals(code));
    }

    @Then("every request has exactly one outcome")
    public void checkOneOutcome() {
        assertThat(world.fleet().callers().openRequestCount())
                .as("requests without an outcome")
                .isZero();
        assertThat(world.fleet().callers().outcomes()).isNotEmpty();
        assertThat(world.fleet().callers().outcomes().stream().map(FakeCallers.RequestOutcome::request))
                .doesNotHaveDuplicates();
    }

    @Then("no caller lost its connection")
    public void checkConnections() {
        assertThat(world.recentOutcomes()).noneMatch(outcome -> outcome.kind() == OutcomeKind.CONNECTION_LOST);
    }

    @Then("no call was executed more than once and none refused as not run was executed")
    public void checkExecutions() {
        final long mayHaveRun = world.fleet().callers().outcomes().stream()
                .filter(outcome -> outcome.kind() != OutcomeKind.NOT_RUN)
                .count();
        assertThat(world.fleet().callers().executions()).isLessThanOrEqualTo(mayHaveRun);
    }

    @Then("at least {int} calls were executed and none of them twice")
    public void checkIdempotentExecutions(final int minimum) {
        assertThat(world.fleet().callers().executionsByKey()).hasSizeGreaterThanOrEqualTo(minimum);
        assertThat(world.fleet().callers().executionsByKey().values()).containsOnly(1);
    }

    @Then("no upstream received new work after the excluded outcomes")
    public void checkNoNewWork() {
        assertThat(world.recentAccepted()).isZero();
    }

    @Then("no upstream received new work while it was out of service")
    public void checkNoNewWorkWhileOutOfService() {
        assertThat(world.recentStartsWhileOutOfService()).isZero();
    }

    @Then("every instance uses the configuration in the store")
    public void checkConfiguration() {
        final long generation = world.fleet().platform().configuration().generation();
        assertThat(world.fleet().living())
                .allMatch(instance -> instance.board().configuration().inForce().generation() == generation);
    }

    @Then("instance {string} has stopped")
    public void checkStopped(final String name) {
        assertThat(world.fleet().find(name).isAlive()).isFalse();
    }

    @Then("the roster lists {string}")
    public void checkRoster(final String names) {
        assertThat(world.fleet().platform().roster().members())
                .extracting(member -> member.name().value())
                .containsExactly(names.split(", "));
    }

    private long countRecent(final String team) {
        return world.recentOutcomes().stream()
                .filter(outcome -> outcome.team().equals(new TeamName(team)))
                .count();
    }

    private long countRecentOfKind(final String team, final OutcomeKind kind) {
        return world.recentOutcomes().stream()
                .filter(outcome -> outcome.team().equals(new TeamName(team)) && outcome.kind() == kind)
                .count();
    }
}
