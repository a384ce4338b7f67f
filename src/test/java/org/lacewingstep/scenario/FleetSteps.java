package org.lacewingstep.scenario;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.FailureDomain;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.IdempotencyKey;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.ServiceSelector;
import org.lacewingstep.domain.Shard;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.scenario.FakeCallers.RequestWorkload;

import static org.assertj.core.api.Assertions.assertThat;

/** Defines the steps that set up a fleet, send load and inject faults. */
public class FleetSteps {
    private static final Duration SETTLE_TIME = Duration.ofSeconds(20);

    private final ScenarioWorld world;

    private VirtualFleet fleet;

    /**
     * Creates the steps of one scenario.
     *
     * @param world the state that the steps of the scenario share, not null
     */
    public FleetSteps(final ScenarioWorld world) {
        this.world = world;
    }

    @Given("a fleet with seed {long} in failure domains {string}")
    public void createFleet(final long seed, final String domains) {
        fleet = new VirtualFleet(seed, List.of(domains.split(", ")), Policy.DEFAULT);
        world.setFleet(fleet);
    }

    @Given("a team {string} with {long} tokens a second and a burst of {long}")
    public void addTeam(final String name, final long rate, final long burst) {
        fleet.addTeam(name, rate, burst);
    }

    @Given("{int} small teams")
    public void addSmallTeams(final int count) {
        for (int index = 0; index < count; index++) {
            fleet.addTeam("small-" + index, 100, 1000);
        }
    }

    @When("the configuration is applied again")
    public void reapplyConfiguration() {
        fleet.applyConfiguration();
    }

    @Given("a model service with {int} prefill and {int} decode upstreams of {int} memory pieces")
    public void addModelService(final int prefills, final int decodes, final int pieces) {
        fleet.addModelService(prefills, decodes, pieces);
    }

    @Given("a plain service with {int} upstreams whose calls may not be repeated")
    public void addPlainService(final int count) {
        fleet.addPlainService(count, false);
    }

    @Given("routes that are open to the teams only")
    public void restrictRoutes() {
        fleet.restrictRoutes();
    }

    @Given("the instances {string} have settled")
    public void startInstances(final String names) {
        fleet.applyConfiguration();
        for (final String name : names.split(", ")) {
            fleet.startInstance(name);
        }
        fleet.advance(SETTLE_TIME);
        assertThat(fleet.living())
                .allMatch(instance -> instance.board().membership().agreement().settled());
    }

    @When("{int} seconds pass")
    public void passSeconds(final int seconds) {
        fleet.advance(Duration.ofSeconds(seconds));
    }

    @When("{int} milliseconds pass")
    public void passMilliseconds(final int milliseconds) {
        fleet.advance(Duration.ofMillis(milliseconds));
    }

    @When("team {string} sends {int} requests a second of {long} prompt and {long} output tokens for {int} seconds")
    public void sendLoad(final String team, final int rate, final long prompt, final long output, final int seconds) {
        final RequestWorkload workload = new RequestWorkload(prompt, output, Math.max(1, output / 2));
        scheduleLoad(team, new ServiceSelector.ByModel(VirtualFleet.MODEL), rate, seconds, workload);
    }

    @When("team {string} calls the plain service {int} times a second for {int} seconds")
    public void sendPlainCalls(final String team, final int rate, final int seconds) {
        final RequestWorkload workload = new RequestWorkload(0, 0, 0);
        scheduleLoad(team, new ServiceSelector.ByPath(VirtualFleet.LEDGER_PATH), rate, seconds, workload);
    }

    @When("team {string} sends {int} requests of {long} prompt and {long} output tokens at once")
    public void sendBurst(final String team, final int count, final long prompt, final long output) {
        final RequestWorkload workload = new RequestWorkload(prompt, output, output);
        final List<VirtualInstance> living = fleet.living();
        for (int index = 0; index < count; index++) {
            final VirtualInstance instance = living.get(index % living.size());
            fleet.callers()
                    .send(instance, new TeamName(team), new ServiceSelector.ByModel(VirtualFleet.MODEL), workload);
        }
    }

    @When("team {string} makes {int} calls with idempotency keys and repeats each at random instances {int} times")
    public void sendRepeatedCalls(final String team, final int calls, final int repetitions) {
        final ServiceSelector selector = new ServiceSelector.ByPath(VirtualFleet.LEDGER_PATH);
        for (int call = 0; call < calls; call++) {
            final RequestWorkload workload =
                    new RequestWorkload(0, 0, 0, Optional.of(new IdempotencyKey("call-" + call)));
            for (int repetition = 0; repetition <= repetitions; repetition++) {
                final Duration delay =
                        Duration.ofMillis(50L * call + fleet.random().nextInt(8000) * (repetition > 0 ? 1 : 0));
                fleet.time().after(delay, () -> {
                    final List<VirtualInstance> living = fleet.living();
                    fleet.callers()
                            .send(
                                    living.get(fleet.random().nextInt(living.size())),
                                    new TeamName(team),
                                    selector,
                                    workload);
                });
            }
        }
    }

    private void scheduleLoad(
            final String team,
            final ServiceSelector selector,
            final int rate,
            final int seconds,
            final RequestWorkload workload) {
        final long gap = Duration.ofSeconds(1).toNanos() / rate;
        for (int index = 0; index < rate * seconds; index++) {
            final Duration jitter = Duration.ofNanos(fleet.random().nextLong(gap));
            fleet.time().after(Duration.ofNanos(gap * index).plus(jitter), () -> {
                final List<VirtualInstance> living = fleet.living();
                if (!living.isEmpty()) {
                    final VirtualInstance instance = living.get(fleet.random().nextInt(living.size()));
                    fleet.callers().send(instance, new TeamName(team), selector, workload);
                }
            });
        }
    }

    @When("instance {string} is killed")
    public void kill(final String name) {
        fleet.kill(name);
    }

    @When("the shard owner of a slot of team {string} is killed")
    public void killTeamShardOwner(final String team) {
        fleet.kill(teamShardOwner(team).name().value());
    }

    @When("the shard owner of a slot of team {string} is paused for {int} seconds")
    public void pauseTeamShardOwner(final String team, final int seconds) {
        pauseFor(teamShardOwner(team), seconds);
    }

    @When("the shard owner of a cell is paused for {int} seconds")
    public void pauseCellShardOwner(final int seconds) {
        pauseFor(cellShardOwner(), seconds);
    }

    @When("the shard owner of a cell is killed")
    public void killCellShardOwner() {
        fleet.kill(cellShardOwner().name().value());
    }

    private void pauseFor(final VirtualInstance instance, final int seconds) {
        instance.pause();
        fleet.time().after(Duration.ofSeconds(seconds), instance::resume);
    }

    private VirtualInstance teamShardOwner(final String team) {
        final VirtualInstance observer = fleet.living().getFirst();
        final Shard shard = new Shard.TeamShard(org.lacewingstep.domain.TeamRange.rangeOf(new TeamName(team)), 0);
        return fleet.find(
                observer.board().membership().shardOwner(shard).orElseThrow().incarnation());
    }

    private VirtualInstance cellShardOwner() {
        final VirtualInstance observer = fleet.living().getFirst();
        final Shard shard = new Shard.CellShard(
                observer.board().configuration().inForce().cells().getFirst());
        return fleet.find(
                observer.board().membership().shardOwner(shard).orElseThrow().incarnation());
    }

    @When("instance {string} is paused for {int} seconds")
    public void pause(final String name, final int seconds) {
        pauseFor(fleet.find(name), seconds);
    }

    @When("instance {string} is started")
    public void start(final String name) {
        fleet.startInstance(name);
    }

    @When("instance {string} receives a shutdown request")
    public void stop(final String name) {
        fleet.find(name).deliver(new Event.ShutdownRequested());
    }

    @When("instance {string} is disconnected from the store and the instance list")
    public void isolateFromPlatform(final String name) {
        fleet.platform().setIsolated(new InstanceName(name), true);
    }

    @When("instance {string} is disconnected from its peers")
    public void isolateFromPeers(final String name) {
        fleet.network().setIsolated(new InstanceName(name), true);
    }

    @When("instance {string} is reconnected to the store, the instance list and its peers")
    public void reconnect(final String name) {
        fleet.network().setIsolated(new InstanceName(name), false);
        fleet.platform().setIsolated(new InstanceName(name), false);
    }

    @When("the store becomes unavailable")
    public void stopStore() {
        fleet.platform().setStoreDown(true);
    }

    @When("the store becomes available")
    public void restoreStore() {
        fleet.platform().setStoreDown(false);
    }

    @When("the instance list becomes unavailable")
    public void stopInstanceList() {
        fleet.platform().setListDown(true);
    }

    @When("the responses of the store are lost for {int} seconds")
    public void loseStoreResponses(final int seconds) {
        fleet.platform().setResponsesLost(true);
        fleet.time().after(Duration.ofSeconds(seconds), () -> fleet.platform().setResponsesLost(false));
    }

    @When("one in {int} messages between instances is lost and one in {int} duplicated")
    public void setNetworkFaults(final int lost, final int duplicated) {
        fleet.network().setFaults(1.0 / lost, 1.0 / duplicated, Duration.ofMillis(20));
    }

    @When("one in {int} callers disconnects after {int} milliseconds")
    public void disconnectCallers(final int oneIn, final int milliseconds) {
        fleet.callers().disconnectCallers(oneIn, Duration.ofMillis(milliseconds));
    }

    @When("every decode upstream enters a cold start")
    public void enterColdStart() {
        decodeUpstreams().forEach(FakeUpstream::enterColdStart);
    }

    @When("upstream {string} fails")
    public void failUpstream(final String name) {
        fleet.upstream(new UpstreamName(name)).setDown(true);
    }

    @When("upstream {string} recovers")
    public void recoverUpstream(final String name) {
        fleet.upstream(new UpstreamName(name)).setDown(false);
    }

    @When("the operator takes failure domain {string} out of service")
    public void takeDomainOutOfService(final String name) {
        changeDomain(name, true);
    }

    @When("the operator returns failure domain {string} to service")
    public void returnDomainToService(final String name) {
        changeDomain(name, false);
    }

    private void changeDomain(final String name, final boolean takenOut) {
        final Configuration current = fleet.platform().configuration();
        final FailureDomainName domain = new FailureDomainName(name);
        final Map<FailureDomainName, FailureDomain> domains = new HashMap<>(current.failureDomains());
        domains.put(domain, new FailureDomain(domain, takenOut));
        fleet.platform().apply(current.withFailureDomains(domains));
    }

    @When("the operator marks upstream {string} as leaving")
    public void markUpstreamLeaving(final String name) {
        final Configuration current = fleet.platform().configuration();
        final Map<UpstreamName, Upstream> upstreams = new HashMap<>(current.upstreams());
        upstreams.computeIfPresent(new UpstreamName(name), (key, upstream) -> upstream.withLeaving(true));
        fleet.platform().apply(current.withUpstreams(upstreams));
    }

    @When("the operator withdraws the key of team {string}")
    public void withdrawKey(final String team) {
        final Configuration current = fleet.platform().configuration();
        final Map<KeyDigest, TeamName> keys = new HashMap<>(current.keys());
        keys.remove(FakeCallers.keyOf(new TeamName(team)));
        fleet.platform().apply(current.withKeys(keys));
    }

    @When("the outcomes so far are excluded from the checks")
    public void excludeEarlierOutcomes() {
        world.excludeEarlierOutcomes();
    }

    private List<FakeUpstream> decodeUpstreams() {
        return fleet.upstreams().values().stream()
                .filter(fake -> fake.upstream().name().value().startsWith("decode"))
                .toList();
    }
}
