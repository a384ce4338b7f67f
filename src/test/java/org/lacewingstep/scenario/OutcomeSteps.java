package org.lacewingstep.scenario;

import java.time.Duration;

import io.cucumber.java.en.Then;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.scenario.FakeCallers.Kind;

import static org.assertj.core.api.Assertions.assertThat;

/** The steps that check what came out of a scenario. */
public class OutcomeSteps {
    private final ScenarioWorld world;

    /**
     * Creates the steps of one scenario.
     *
     * @param world what the steps of the scenario share, not null
     */
    public OutcomeSteps(final ScenarioWorld world) {
        this.world = world;
    }

    @Then("no team has received more than its rate and burst")
    public void checkBudgets() {
        world.fleet().teams().values().forEach(team -> assertThat(
                        world.fleet().callers().ledger().excess(team))
                .as("tokens over rate and burst of %s", team.name())
                .isLessThanOrEqualTo(0));
    }

    @Then("no two instances held the same budget")
    public void checkHolders() {
        assertThat(world.fleet().watch().conflicts()).isEmpty();
    }

    @Then("no engine memory was promised twice")
    public void checkMemory() {
        world.fleet().upstreams().values().forEach(upstream -> assertThat(upstream.overcommits())
                .as("overcommits at %s", upstream.upstream().name())
                .isZero());
    }

    @Then("no upstream in a cold start got more than it bears")
    public void checkCold() {
        world.fleet().upstreams().values().forEach(upstream -> assertThat(upstream.coldOverloads())
                .as("overloads at %s", upstream.upstream().name())
                .isZero());
    }

    @Then("no upstream in a cold start got more than it bears once its report had arrived")
    public void checkColdWhenReported() {
        world.fleet().upstreams().values().forEach(upstream -> assertThat(upstream.lateColdOverloads())
                .as("overloads at %s", upstream.upstream().name())
                .isZero());
    }

    @Then("no engine memory is held and no room is reserved")
    public void checkFreed() {
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

    @Then("at least {double} percent of the requests of team {string} were answered")
    public void checkAnswered(final double percent, final String team) {
        final long all = since(team);
        final long answered = count(team, Kind.ANSWERED);
        assertThat(all).isPositive();
        assertThat(100.0 * answered / all).as("answered of %s", all).isGreaterThanOrEqualTo(percent);
    }

    @Then("the requests of team {string} were answered within {int} seconds")
    public void checkDuration(final String team, final int seconds) {
        assertThat(world.recent())
                .filteredOn(answer -> answer.team().equals(new TeamName(team)) && answer.kind() == Kind.ANSWERED)
                .isNotEmpty()
                .allMatch(
                        answer -> Duration.between(answer.sentAt(), answer.at()).toSeconds() < seconds);
    }

    @Then("at most {double} percent of the requests of team {string} were wrongfully refused")
    public void checkRefused(final double percent, final String team) {
        final long all = since(team);
        final long wrongful = world.recent().stream()
                .filter(answer -> answer.team().equals(new TeamName(team)) && answer.wrongful())
                .count();
        assertThat(all).isPositive();
        assertThat(100.0 * wrongful / all).as("wrongfully refused of %s", all).isLessThanOrEqualTo(percent);
    }

    @Then("no request of team {string} was run")
    public void checkNoneRun(final String team) {
        assertThat(since(team)).isPositive();
        assertThat(count(team, Kind.NOT_RUN)).isEqualTo(since(team));
    }

    @Then("every request of team {string} was refused with {string}")
    public void checkRefusedWith(final String team, final String code) {
        assertThat(world.recent())
                .filteredOn(answer -> answer.team().equals(new TeamName(team)))
                .isNotEmpty()
                .allMatch(answer -> answer.kind() == Kind.NOT_RUN
                        && answer.code().orElseThrow().name().equals(code));
    }

    @Then("every request has exactly one answer")
    public void checkOneAnswer() {
        assertThat(world.fleet().callers().openRequests())
                .as("requests without an answer")
                .isZero();
        assertThat(world.fleet().callers().answers()).isNotEmpty();
        assertThat(world.fleet().callers().answers().stream().map(FakeCallers.Answer::request))
                .doesNotHaveDuplicates();
    }

    @Then("no caller lost its connection")
    public void checkConnections() {
        assertThat(world.recent()).noneMatch(answer -> answer.kind() == Kind.CONNECTION_LOST);
    }

    @Then("no call was executed more than once and none refused as not run was executed")
    public void checkExecutions() {
        final long mayHaveRun = world.fleet().callers().answers().stream()
                .filter(answer -> answer.kind() != Kind.NOT_RUN)
                .count();
        assertThat(world.fleet().callers().executions()).isLessThanOrEqualTo(mayHaveRun);
    }

    @Then("at least {int} calls were executed and none of them twice")
    public void checkKeys(final int least) {
        assertThat(world.fleet().callers().executionsByKey()).hasSizeGreaterThanOrEqualTo(least);
        assertThat(world.fleet().callers().executionsByKey().values()).containsOnly(1);
    }

    @Then("no upstream got new work since then")
    public void checkNoWork() {
        assertThat(world.recentlyAccepted()).isZero();
    }

    @Then("no upstream got new work while it was out")
    public void checkLeaving() {
        assertThat(world.recentStartsWhileLeaving()).isZero();
    }

    @Then("the configuration of every instance is the one in the store")
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

    private long since(final String team) {
        return world.recent().stream()
                .filter(answer -> answer.team().equals(new TeamName(team)))
                .count();
    }

    private long count(final String team, final Kind kind) {
        return world.recent().stream()
                .filter(answer -> answer.team().equals(new TeamName(team)) && answer.kind() == kind)
                .count();
    }
}
