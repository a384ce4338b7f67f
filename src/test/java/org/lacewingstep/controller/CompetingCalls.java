package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallParameters;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.CallerLimits;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Route;
import org.lacewingstep.domain.RouteKind;
import org.lacewingstep.domain.RouteTarget;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.ServiceLimits;
import org.lacewingstep.domain.TeamAllowance;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.TokenDemand;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;

/** Plays calls of three urgencies and several teams against instances that share engines with little memory. */
final class CompetingCalls {
    static final int TEAMS = 8;
    static final List<Duration> TARGETS =
            List.of(Duration.ofMillis(800), Duration.ofMillis(1000), Duration.ofMillis(2000));

    private static final int ENGINES = 10;
    private static final long MEMORY = 29_250;
    private static final Duration RUN_TIME = Duration.ofMillis(1200);
    private static final Duration FIRST_TOKEN = Duration.ofMillis(200);
    private static final Duration WAY = Duration.ofMillis(2);
    private static final Duration TIME_LIMIT = Duration.ofSeconds(14);

    private final PriorityQueue<Occurrence> occurrences =
            new PriorityQueue<>(Comparator.comparing(Occurrence::due).thenComparingLong(Occurrence::number));
    private final List<SiteFixture> sites = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final Map<InstanceTimer, Instant> timers = new HashMap<>();
    private final Map<RequestIdentifier, PlayedCall> calls = new HashMap<>();
    private final Map<UpstreamName, Long> used = new HashMap<>();
    private final Set<RequestIdentifier> reserved = new HashSet<>();
    private final Set<Integer> dead = new HashSet<>();
    private final Random random;
    private Instant now;
    private long number;
    private boolean reportsStopped;

    /** A call and what became of it. */
    static final class PlayedCall {
        final int urgency;
        final int team;
        final long tokens;
        final int site;
        final Instant arrived;
        Optional<Duration> sent = Optional.empty();
        Optional<Duration> refused = Optional.empty();

        private PlayedCall(
                final int urgency, final int team, final long tokens, final int site, final Instant arrived) {
            this.urgency = urgency;
            this.team = team;
            this.tokens = tokens;
            this.site = site;
            this.arrived = arrived;
        }

        boolean onTime() {
            return sent.filter(wait -> wait.plus(FIRST_TOKEN).compareTo(TARGETS.get(urgency)) <= 0)
                    .isPresent();
        }
    }

    private record Occurrence(Instant due, long number, Runnable action) {}

    private record InstanceTimer(int site, TimerKey key) {}

    CompetingCalls(final int instances, final Random random) {
        this.random = random;
        for (int i = 0; i < instances; i++) {
            members.add(SiteFixture.member("i" + i));
        }
        final StoreChange[] present =
                members.stream().map(StoreChange.InstanceRegistered::new).toArray(StoreChange[]::new);
        final List<RegisteredUpstream> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(SiteFixture.upstream(
                    "engine-" + i, SiteFixture.ENGINES, UpstreamRole.DECODE, SiteFixture.LOCAL_DOMAIN));
        }
        for (final Member member : members) {
            final SiteFixture site = new SiteFixture(member, true, 1000);
            site.readStore(table(), engines);
            site.changeStore(present);
            sites.add(site);
        }
        now = sites.getFirst().now();
        for (int i = 0; i < instances; i++) {
            drain(i);
        }
    }

    private static RoutingTable table() {
        final List<Route> routes = new ArrayList<>();
        for (int urgency = 0; urgency < TARGETS.size(); urgency++) {
            routes.add(new Route(
                    "route-" + urgency,
                    SiteFixture.HOST,
                    "/" + urgency + "/",
                    new RouteKind.EventStream(false, Duration.ofMillis(300)),
                    TIME_LIMIT,
                    TARGETS.get(urgency),
                    1,
                    false,
                    List.of(new RouteTarget(SiteFixture.ENGINES, 1)),
                    Set.of(),
                    urgency));
        }
        final Map<TeamName, TeamAllowance> teams = new HashMap<>();
        final Map<KeyDigest, TeamName> keys = new HashMap<>();
        for (int team = 0; team < TEAMS; team++) {
            final TeamName name = new TeamName("team-" + team);
            teams.put(name, new TeamAllowance(name, 0, 0, true, 200, Set.of()));
            keys.put(KeyDigest.of("key-" + team), name);
        }
        return new RoutingTable(
                1,
                RoutingTable.byHost(routes),
                Map.of(
                        SiteFixture.ENGINES,
                        new ServiceLimits(SiteFixture.ENGINES, 100, MEMORY, Duration.ofSeconds(2), 0)),
                teams,
                keys,
                CallerLimits.DEFAULT);
    }

    void stopReports() {
        reportsStopped = true;
    }

    void kill(final int site) {
        dead.add(site);
    }

    /** Sets the clock of an instance forward or back, as the control thread reports it. */
    void jumpClock(final int site, final Duration by) {
        sites.get(site).step(new Event.ClockJumped(by));
        drain(site);
    }

    int longestQueue() {
        int longest = 0;
        for (int i = 1; i < sites.size(); i++) {
            if (open(i) > open(longest)) {
                longest = i;
            }
        }
        return longest;
    }

    private int open(final int site) {
        return sites.get(site).board().serving().calls().calls().size();
    }

    /** Plays random arrivals; one team may send a multiple of its calls. */
    List<PlayedCall> play(final Duration time, final double[] perSecond, final double pressing) {
        final Instant end = now.plus(time);
        final List<PlayedCall> played = new ArrayList<>();
        for (int urgency = 0; urgency < perSecond.length; urgency++) {
            for (int team = 0; team < TEAMS; team++) {
                final double rate = perSecond[urgency] / TEAMS * (team == 0 ? pressing : 1);
                Instant arrival = now.plus(gap(rate));
                while (arrival.isBefore(end)) {
                    final PlayedCall call = new PlayedCall(
                            urgency, team, 1000 + random.nextInt(5000), random.nextInt(sites.size()), arrival);
                    played.add(call);
                    at(arrival, () -> arrive(call));
                    arrival = arrival.plus(gap(rate));
                }
            }
        }
        while (!occurrences.isEmpty() && occurrences.peek().due().isBefore(end)) {
            final Occurrence next = occurrences.remove();
            now = next.due();
            next.action().run();
        }
        now = end;
        return played;
    }

    private Duration gap(final double rate) {
        return Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / rate * 1e9));
    }

    private void at(final Instant due, final Runnable action) {
        occurrences.add(new Occurrence(due, number++, action));
    }

    private void arrive(final PlayedCall call) {
        if (dead.contains(call.site)) {
            return;
        }
        final RequestIdentifier request = new RequestIdentifier("r" + number++);
        calls.put(request, call);
        step(
                call.site,
                new Event.CallArrived(new CallParameters(
                        request,
                        SiteFixture.HOST,
                        "/" + call.urgency + "/x",
                        Optional.of(KeyDigest.of("key-" + call.team)),
                        Optional.of(new TokenDemand(call.tokens * 9 / 10, call.tokens / 10)),
                        List.of(),
                        TIME_LIMIT,
                        now)));
    }

    private void step(final int index, final Event event) {
        if (dead.contains(index)) {
            return;
        }
        final SiteFixture site = sites.get(index);
        site.advanceClock(Duration.between(site.now(), now));
        if (site.board()
                .serving()
                .routing()
                .confirmedAt()
                .filter(at -> Duration.between(at, now).toMillis() <= 1000)
                .isEmpty()) {
            site.confirmTable();
        }
        site.step(event);
        drain(index);
    }

    private void drain(final int index) {
        final List<Effect> effects = List.copyOf(sites.get(index).effects());
        sites.get(index).effects().clear();
        for (final Effect effect : effects) {
            switch (effect) {
                case Effect.StartTimer(TimerKey key, Instant due) when isPlayed(key) -> startTimer(index, key, due);
                case Effect.SendToPeer(Member receiver, PeerMessage.SiteLoad load) ->
                    at(now.plus(WAY), () -> {
                        if (!reportsStopped) {
                            step(
                                    members.indexOf(receiver),
                                    new Event.PeerLoadReported(
                                            members.get(index).incarnation(), load));
                        }
                    });
                case Effect.InstructCall(RequestIdentifier request, CallInstruction instruction) ->
                    carryOut(index, request, instruction);
                default -> {}
            }
        }
    }

    private static boolean isPlayed(final TimerKey key) {
        return key instanceof TimerKey.CallQueue
                || key instanceof TimerKey.CallDeadline
                || key instanceof TimerKey.LoadBroadcast;
    }

    private void startTimer(final int index, final TimerKey key, final Instant due) {
        final Instant at = due.isAfter(now) ? due : now;
        final InstanceTimer timer = new InstanceTimer(index, key);
        timers.put(timer, at);
        at(at, () -> {
            if (timers.remove(timer, at)) {
                step(index, new Event.TimerFired(key));
            }
        });
    }

    private void carryOut(final int index, final RequestIdentifier request, final CallInstruction instruction) {
        final PlayedCall call = calls.get(request);
        switch (instruction) {
            case CallInstruction.Reserve reserve ->
                at(
                        now.plus(WAY),
                        () -> reserve(index, request, reserve.upstream().name(), reserve.tokens()));
            case CallInstruction.Send send -> {
                call.sent = call.sent.or(() -> Optional.of(Duration.between(call.arrived, now)));
                at(now.plus(FIRST_TOKEN).plus(RUN_TIME), () -> {
                    used.merge(send.upstream().name(), -call.tokens, Long::sum);
                    step(index, new Event.CallAttemptEnded(request, send.attempt(), new CallResult.Served()));
                });
            }
            case CallInstruction.Refuse refuse -> call.refused = Optional.of(Duration.between(call.arrived, now));
            default -> {}
        }
    }

    private void reserve(
            final int index, final RequestIdentifier request, final UpstreamName engine, final long tokens) {
        final boolean fits = used.getOrDefault(engine, 0L) + tokens <= MEMORY;
        if (fits) {
            used.merge(engine, calls.get(request).tokens, Long::sum);
            reserved.add(request);
        }
        at(
                now.plus(WAY),
                () -> step(
                        index,
                        new Event.ReservationCompleted(
                                request, engine, fits ? new CallResult.Served() : new CallResult.NotRun(true))));
    }

    static double share(
            final List<PlayedCall> calls, final Predicate<PlayedCall> asked, final Predicate<PlayedCall> got) {
        final List<PlayedCall> all = calls.stream().filter(asked).toList();
        return all.isEmpty() ? 1 : all.stream().filter(got).count() / (double) all.size();
    }
}
