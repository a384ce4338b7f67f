package org.lacewingstep.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.domain.Access;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.CellPlanner;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.FailureDomain;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.Service;
import org.lacewingstep.domain.ServiceKind;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.Team;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;

/** Runs several instances in virtual time, with fakes for the callers, network, platform and upstreams. */
final class VirtualFleet {
    static final String MODEL = "pattern-7b";
    static final String LEDGER_PATH = "/ledger";

    private static final int FIRST_PORT = 7000;
    private static final int UPSTREAMS_PER_CELL = 4;

    private final FakeCallers callers = new FakeCallers(this);
    private final Map<KeyDigest, TeamName> keys = new HashMap<>();
    private final List<String> domains;
    private final List<VirtualInstance> instances = new ArrayList<>();
    private final FakeNetwork network;
    private final FakePlatform platform = new FakePlatform(this);
    private final Map<String, Integer> instanceIndexes = new HashMap<>();
    private final Policy policy;
    private final RandomGenerator random;
    private final Map<ServiceName, Service> services = new HashMap<>();
    private final Map<TeamName, Team> teams = new HashMap<>();
    private final VirtualTime time = new VirtualTime();
    private final DuplicateHolderCheck duplicateHolderCheck = new DuplicateHolderCheck();
    private final Map<UpstreamName, FakeUpstream> upstreams = new LinkedHashMap<>();

    private long nextIncarnation = 1;
    private boolean observesAdmissions;

    VirtualFleet(final long seed, final List<String> domains, final Policy policy) {
        this.random = new SplittableRandom(seed);
        this.network = new FakeNetwork(this, random);
        this.domains = List.copyOf(domains);
        this.policy = policy;
    }

    void addTeam(final String name, final long rate, final long burst) {
        final TeamName team = new TeamName(name);
        teams.put(team, new Team(team, rate, burst));
        keys.put(FakeCallers.keyOf(team), team);
    }

    void addModelService(final int prefills, final int decodes, final int pieces) {
        final ServiceName service = new ServiceName("pattern");
        services.put(service, new Service(service, new ServiceKind.Model(MODEL), new Access.OpenToAll()));
        final Map<UpstreamName, UpstreamRole> roles = new LinkedHashMap<>();
        for (int index = 0; index < prefills; index++) {
            roles.put(new UpstreamName("prefill-" + index), UpstreamRole.PREFILL);
        }
        for (int index = 0; index < decodes; index++) {
            roles.put(new UpstreamName("decode-" + index), UpstreamRole.DECODE);
        }
        addUpstreams(service, roles, pieces);
    }

    void addPlainService(final int count, final boolean repeatable) {
        final ServiceName service = new ServiceName("ledger");
        services.put(
                service,
                new Service(service, new ServiceKind.Plain(LEDGER_PATH, repeatable, 1), new Access.OpenToAll()));
        final Map<UpstreamName, UpstreamRole> roles = new LinkedHashMap<>();
        for (int index = 0; index < count; index++) {
            roles.put(new UpstreamName("ledger-" + index), UpstreamRole.PLAIN);
        }
        addUpstreams(service, roles, Short.MAX_VALUE);
    }

    private void addUpstreams(
            final ServiceName service, final Map<UpstreamName, UpstreamRole> roles, final int pieces) {
        final Map<UpstreamName, CellName> cells = CellPlanner.assign(service, roles, Map.of(), UPSTREAMS_PER_CELL);
        int index = 0;
        for (final Map.Entry<UpstreamName, UpstreamRole> entry : roles.entrySet()) {
            final FailureDomainName domain = new FailureDomainName(domains.get(index % domains.size()));
            final PeerAddress address = new PeerAddress("10.0.1.1", FIRST_PORT + upstreams.size());
            final Upstream upstream = new Upstream(
                    entry.getKey(),
                    service,
                    entry.getValue(),
                    address,
                    domain,
                    cells.get(entry.getKey()),
                    pieces,
                    false);
            upstreams.put(entry.getKey(), new FakeUpstream(this, upstream));
            index++;
        }
    }

    /** Restricts every service to the teams added so far, so that requests need a valid key. */
    void restrictRoutes() {
        final Access access = new Access.OpenToTeams(teams.keySet());
        services.replaceAll((name, service) -> new Service(name, service.kind(), access));
    }

    /** Writes the teams, services and upstreams added so far to the store as the new configuration. */
    void applyConfiguration() {
        final Map<FailureDomainName, FailureDomain> domainsByName = new HashMap<>();
        domains.forEach(name ->
                domainsByName.put(new FailureDomainName(name), new FailureDomain(new FailureDomainName(name), false)));
        final Map<UpstreamName, Upstream> configuredUpstreams = new HashMap<>();
        upstreams.forEach((name, fake) -> configuredUpstreams.put(name, fake.upstream()));
        platform.apply(new Configuration(0, domainsByName, services, configuredUpstreams, teams, keys));
    }

    VirtualInstance startInstance(final String name) {
        final int index = instanceIndexes.computeIfAbsent(name, key -> instanceIndexes.size());
        final Member member = new Member(
                new Incarnation(new InstanceName(name), nextIncarnation++),
                new PeerAddress("10.0.0.1", FIRST_PORT + index),
                new FailureDomainName(domains.get(index % domains.size())));
        final VirtualInstance instance = new VirtualInstance(this, member, policy);
        instances.add(instance);
        instance.start();
        return instance;
    }

    void kill(final String name) {
        kill(find(name));
    }

    void kill(final VirtualInstance instance) {
        if (instance.isAlive()) {
            instance.kill();
            callers.loseConnections(instance);
        }
    }

    FakeCallers callers() {
        return callers;
    }

    VirtualInstance find(final Incarnation process) {
        return instances.stream()
                .filter(instance -> instance.incarnation().equals(process))
                .findFirst()
                .orElse(null);
    }

    VirtualInstance find(final String name) {
        return instances.reversed().stream()
                .filter(instance -> instance.name().value().equals(name))
                .findFirst()
                .orElseThrow();
    }

    List<VirtualInstance> living() {
        return instances.stream().filter(VirtualInstance::isAlive).toList();
    }

    FakeNetwork network() {
        return network;
    }

    FakePlatform platform() {
        return platform;
    }

    Policy policy() {
        return policy;
    }

    RandomGenerator random() {
        return random;
    }

    Team team(final TeamName name) {
        return teams.get(name);
    }

    Map<TeamName, Team> teams() {
        return teams;
    }

    VirtualTime time() {
        return time;
    }

    FakeUpstream upstream(final UpstreamName name) {
        return upstreams.get(name);
    }

    Map<UpstreamName, FakeUpstream> upstreams() {
        return upstreams;
    }

    /** Records admissions in runs that measure them; only other runs check for duplicate holders, to save time. */
    void afterStep(final VirtualInstance instance) {
        if (observesAdmissions) {
            callers.observeAdmissions(instance);
        } else {
            duplicateHolderCheck.check(this);
        }
    }

    void observeAdmissions() {
        observesAdmissions = true;
    }

    DuplicateHolderCheck duplicateHolderCheck() {
        return duplicateHolderCheck;
    }

    void advance(final Duration duration) {
        time.advance(duration);
    }
}
