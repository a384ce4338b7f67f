package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallParameters;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Identity;
import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.blackboard.Step;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.CallerLimits;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.RegionName;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Route;
import org.lacewingstep.domain.RouteKind;
import org.lacewingstep.domain.RouteTarget;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.ServiceLimits;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.SitePolicy;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.TeamAllowance;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.TokenDemand;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;

/** Runs the real controllers of an instance on a platform with a simulated clock. */
final class SiteFixture {
    static final String HOST = "site.example";
    static final KeyDigest KEY = KeyDigest.of("a-key");
    static final FailureDomainName LOCAL_DOMAIN = new FailureDomainName("here");
    static final FailureDomainName REMOTE_DOMAIN = new FailureDomainName("there");
    static final TeamName TEAM = new TeamName("weavers");
    static final ServiceName ENGINES = new ServiceName("engines");
    static final ServiceName LEDGER = new ServiceName("ledger");

    static final long MEMORY_TOKENS = 1000;

    private static final double RATE_SLACK = 1000;
    private static final Duration TIME_LIMIT = Duration.ofSeconds(3);
    private static final Duration TARGET_LATENCY = Duration.ofMillis(300);

    private Blackboard board;
    private final List<Effect> effects = new ArrayList<>();
    private Instant now = Instant.EPOCH.plusSeconds(1000);
    private int requests;

    SiteFixture(final boolean firstStart) {
        this(member("a"), firstStart, RATE_SLACK);
    }

    SiteFixture(final Member self, final boolean firstStart, final double rateSlack) {
        board = Blackboard.initial(new Identity(self, Policy.DEFAULT));
        step(new Event.SiteConfigured(policy(self.name(), rateSlack), firstStart));
    }

    /** Creates an instance that has read a routing table and five upstreams: two plain, two decode and one prefill. */
    static SiteFixture serving() {
        final SiteFixture site = new SiteFixture(true);
        site.readStore(table(1, 1_000_000), upstreams());
        return site;
    }

    static List<RegisteredUpstream> upstreams() {
        return List.of(
                upstream("ledger-1", LEDGER, UpstreamRole.PLAIN, LOCAL_DOMAIN),
                upstream("ledger-2", LEDGER, UpstreamRole.PLAIN, REMOTE_DOMAIN),
                upstream("decode-1", ENGINES, UpstreamRole.DECODE, LOCAL_DOMAIN),
                upstream("decode-2", ENGINES, UpstreamRole.DECODE, REMOTE_DOMAIN),
                upstream("prefill-1", ENGINES, UpstreamRole.PREFILL, LOCAL_DOMAIN));
    }

    static RegisteredUpstream upstream(
            final String name, final ServiceName service, final UpstreamRole role, final FailureDomainName domain) {
        return new RegisteredUpstream(
                new UpstreamName(name),
                1,
                service,
                new PeerAddress("127.0.0.1", 80),
                domain,
                role,
                8,
                false,
                Duration.ZERO);
    }

    static RegisteredUpstream draining(final RegisteredUpstream upstream) {
        return new RegisteredUpstream(
                upstream.name(),
                upstream.startedAtMillis(),
                upstream.service(),
                upstream.address(),
                upstream.failureDomain(),
                upstream.role(),
                upstream.slots(),
                true,
                Duration.ZERO);
    }

    static RoutingTable table(final long version, final double rate) {
        return table(version, rate, Map.of(KEY, TEAM));
    }

    static RoutingTable table(final long version, final double rate, final Map<KeyDigest, TeamName> keys) {
        return table(version, rate, keys, Duration.ZERO);
    }

    /** Creates an instance whose decode upstreams accept memory reservations. */
    static SiteFixture reserving() {
        final SiteFixture site = new SiteFixture(true);
        site.readStore(table(1, 1_000_000, Map.of(KEY, TEAM), Duration.ofSeconds(2)), upstreams());
        return site;
    }

    private static RoutingTable table(
            final long version,
            final double rate,
            final Map<KeyDigest, TeamName> keys,
            final Duration reservationLimit) {
        final List<Route> routes = List.of(
                route("/post/", new RouteKind.AtMostOnce(), 2, LEDGER),
                route("/home/", new RouteKind.AtMostOnce(), 2, LEDGER, Set.of(new RegionName("region"))),
                route("/away/", new RouteKind.AtMostOnce(), 2, LEDGER, Set.of(new RegionName("elsewhere"))),
                route("/read/", new RouteKind.Idempotent(), 2, LEDGER),
                route("/stream/", new RouteKind.EventStream(true, Duration.ofMillis(300)), 2, ENGINES),
                route("/once/", new RouteKind.EventStream(false, Duration.ofMillis(300)), 1, ENGINES));
        return new RoutingTable(
                version,
                RoutingTable.byHost(routes),
                Map.of(
                        LEDGER, new ServiceLimits(LEDGER, 100, 0, Duration.ZERO, 0),
                        ENGINES, new ServiceLimits(ENGINES, 100, MEMORY_TOKENS, reservationLimit, 4)),
                Map.of(TEAM, new TeamAllowance(TEAM, rate, rate, true, 200, Set.of())),
                keys,
                CallerLimits.DEFAULT);
    }

    private static Route route(
            final String prefix, final RouteKind kind, final int attempts, final ServiceName service) {
        return route(prefix, kind, attempts, service, Set.of());
    }

    private static Route route(
            final String prefix,
            final RouteKind kind,
            final int attempts,
            final ServiceName service,
            final Set<RegionName> allowedRegions) {
        return new Route(
                "route" + prefix.replace('/', '-'),
                HOST,
                prefix,
                kind,
                TIME_LIMIT,
                TARGET_LATENCY,
                attempts,
                false,
                List.of(new RouteTarget(service, 1)),
                allowedRegions);
    }

    private static SitePolicy policy(final InstanceName name, final double rateSlack) {
        return new SitePolicy(
                name,
                LOCAL_DOMAIN,
                Map.of(LOCAL_DOMAIN, new RegionName("region"), REMOTE_DOMAIN, new RegionName("region")),
                Duration.ofSeconds(5),
                Duration.ofSeconds(8),
                0.2,
                Duration.ofSeconds(10),
                50,
                Duration.ofSeconds(8),
                0.1,
                rateSlack,
                1.5,
                5,
                Duration.ofSeconds(3));
    }

    void readStore(final RoutingTable table, final List<RegisteredUpstream> upstreams) {
        final List<StoreChange> content = new ArrayList<>();
        content.add(new StoreChange.TableWritten(table, new StoreRevision(0, table.version())));
        upstreams.forEach(upstream -> content.add(new StoreChange.UpstreamRegistered(upstream)));
        step(new Event.StoreRead(content, new StoreRevision(0, 100), now));
    }

    void changeStore(final StoreChange... changes) {
        step(new Event.StoreChanged(List.of(changes), new StoreRevision(0, 101)));
    }

    static Member member(final String name) {
        return member(name, 1);
    }

    static Member member(final String name, final long process) {
        return new Member(
                new Incarnation(new InstanceName(name), process), new PeerAddress("127.0.0.1", 1), LOCAL_DOMAIN);
    }

    static StoreChange[] presentInstances(final String prefix, final int instances) {
        final StoreChange[] changes = new StoreChange[instances];
        for (int i = 0; i < instances; i++) {
            changes[i] = new StoreChange.InstanceRegistered(member(prefix + i));
        }
        return changes;
    }

    void confirmTable() {
        step(new Event.TableConfirmed(
                Optional.empty(), board.serving().routing().revision(), now));
    }

    void advanceClock(final Duration time) {
        now = now.plus(time);
    }

    RequestIdentifier call(final String path) {
        return call(path, 100);
    }

    RequestIdentifier call(final String path, final long tokens) {
        return call(path, tokens, List.of());
    }

    RequestIdentifier call(final String path, final long tokens, final List<PromptPart> promptParts) {
        requests++;
        final RequestIdentifier request = new RequestIdentifier("r" + requests);
        step(new Event.CallArrived(new CallParameters(
                request,
                HOST,
                path,
                Optional.of(KEY),
                Optional.of(new TokenDemand(tokens, 0)),
                promptParts,
                Duration.ofSeconds(2),
                now)));
        return request;
    }

    /** Returns whether a call with a key would be admitted. */
    boolean admits(final String path, final KeyDigest key) {
        final CallParameters parameters = new CallParameters(
                new RequestIdentifier("admission"),
                HOST,
                path,
                Optional.of(key),
                Optional.of(new TokenDemand(100, 0)),
                List.of(),
                Duration.ofSeconds(2),
                now);
        return CallAdmission.decide(board, parameters, now) instanceof CallAdmission.AdmissionDecision.Admitted;
    }

    void endAttempt(final RequestIdentifier request, final CallResult result) {
        step(new Event.CallAttemptEnded(request, lastSend(request).attempt(), result));
    }

    void step(final Event event) {
        final Step step = BlackboardStepper.step(board, event, now);
        board = step.board();
        effects.addAll(step.effects());
    }

    List<CallInstruction> instructions(final RequestIdentifier request) {
        return effects.stream()
                .filter(effect ->
                        effect instanceof Effect.InstructCall(var receiver, var ignored) && receiver.equals(request))
                .map(effect -> ((Effect.InstructCall) effect).instruction())
                .toList();
    }

    CallInstruction lastInstruction(final RequestIdentifier request) {
        return instructions(request).getLast();
    }

    Send lastSend(final RequestIdentifier request) {
        return (Send) lastInstruction(request);
    }

    List<Effect> effects() {
        return effects;
    }

    Blackboard board() {
        return board;
    }

    Instant now() {
        return now;
    }
}
