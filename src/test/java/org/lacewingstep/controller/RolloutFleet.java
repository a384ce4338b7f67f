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

import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.RolloutOccurrence;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.RolloutBounds;
import org.lacewingstep.domain.RolloutOrder;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.SitePolicy;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.VersionName;

/** Runs the real controllers of many instances during a rollout, with callers and upstreams, in virtual time. */
final class RolloutFleet {
    static final VersionName OLD = new VersionName("v1");
    static final VersionName NEW = new VersionName("v2");
    static final RolloutBounds BOUNDS = new RolloutBounds(0.1, 50, Duration.ofSeconds(5));

    private static final Duration TICK = Duration.ofMillis(10);
    private static final List<String> PATHS = List.of("/post/x", "/read/x");
    private static final int UPSTREAMS = 8;

    private final List<SiteFixture> sites = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final List<Map<TimerKey, Instant>> timers = new ArrayList<>();
    private final Map<Integer, Instant> cutUntil = new HashMap<>();
    private final Set<Integer> storeCut = new HashSet<>();
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>(Comparator.comparing(Delivery::due).thenComparing(Delivery::number));
    private final List<StoreChange> written = new ArrayList<>();
    private final List<RegisteredUpstream> upstreams = new ArrayList<>();
    private final List<Sent> sent = new ArrayList<>();
    private final List<RolloutPlan> plans = new ArrayList<>();
    private final Random random;
    private final double perSecond;

    private Behaviour behaviour = (upstream, path, at) -> Response.GOOD;
    private Optional<RolloutOrder> order = Optional.empty();
    private long planRevision;
    private Instant now;
    private long number;
    private double lostResponses;
    private double lostMessages;

    /** How upstreams respond. */
    interface Behaviour {
        Response respond(RegisteredUpstream upstream, String path, Instant at);
    }

    /** A response and the time that it takes. */
    record Response(CallResult result, Duration time) {
        static final Response GOOD = new Response(new CallResult.Served(), Duration.ofMillis(40));
        static final Response FAILED = new Response(new CallResult.FailedByUpstream(500), Duration.ofMillis(40));
        static final Response NONE = new Response(new CallResult.Broken(true, false), Duration.ofSeconds(10));
        static final Response SLOW = new Response(new CallResult.Served(), Duration.ofMillis(200));
        static final Response NOT_RUN = new Response(new CallResult.NotRun(true), Duration.ofMillis(5));
    }

    /** An attempt that reached an upstream. */
    record Sent(int instance, RegisteredUpstream upstream, String path, Instant at, Response response) {
        boolean isExposed() {
            return upstream.version().equals(NEW);
        }
    }

    private record Delivery(Instant due, long number, int receiver, Incarnation process, Event event) {}

    RolloutFleet(final int instances, final double perSecond, final long seed) {
        this.random = new Random(seed);
        this.perSecond = perSecond;
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(upstream("old-" + i, OLD, i));
        }
        for (int i = 0; i < instances; i++) {
            members.add(new Member(
                    new Incarnation(new InstanceName("i" + i), 1),
                    new PeerAddress("127.0.0.1", 1),
                    new FailureDomainName(i % 2 == 0 ? "here" : "there")));
            timers.add(new HashMap<>());
            sites.add(null);
        }
        now = new SiteFixture(true).now();
        for (int i = 0; i < instances; i++) {
            start(i, true);
        }
    }

    static RegisteredUpstream upstream(final String name, final VersionName version, final int index) {
        return new RegisteredUpstream(
                new UpstreamName(name),
                1,
                SiteFixture.LEDGER,
                new PeerAddress("127.0.0.1", 80),
                new FailureDomainName(index % 2 == 0 ? "here" : "there"),
                UpstreamRole.PLAIN,
                8,
                false,
                Duration.ZERO,
                version);
    }

    private void start(final int index, final boolean first) {
        final SiteFixture site = new SiteFixture(members.get(index), first, 1_000_000);
        site.advanceClock(Duration.between(site.now(), now));
        site.step(new Event.SiteReloaded(policy(site.board().serving().site().bounds())));
        sites.set(index, site);
        timers.get(index).clear();
        final List<StoreChange> content = new ArrayList<>(stored());
        content.add(new StoreChange.TableWritten(SiteFixture.table(1, 1_000_000_000), new StoreRevision(0, 1)));
        upstreams.forEach(upstream -> content.add(new StoreChange.UpstreamRegistered(upstream)));
        members.forEach(member -> content.add(new StoreChange.InstanceRegistered(member)));
        site.step(new Event.StoreRead(content, new StoreRevision(0, 100 + written.size()), now));
        site.step(new Event.TableConfirmed(Optional.empty(), new StoreRevision(0, 1), now));
        site.step(new Event.TimerFired(new TimerKey.LifecycleCheck()));
        drain(index);
    }

    /** Lists the latest plan before the latest order, as a reading of the whole store may do. */
    private List<StoreChange> stored() {
        final List<StoreChange> content = new ArrayList<>(written);
        content.removeIf(change -> change instanceof StoreChange.RolloutPlanChanged
                || change instanceof StoreChange.RolloutOrdered
                || change instanceof StoreChange.UpstreamRegistered);
        if (!plans.isEmpty()) {
            content.add(new StoreChange.RolloutPlanChanged(plans.getLast(), new StoreRevision(0, planRevision)));
        }
        order.ifPresent(last -> content.add(new StoreChange.RolloutOrdered(last)));
        return content;
    }

    static SitePolicy policy(final SitePolicy base) {
        return new SitePolicy(
                base.instance(),
                base.failureDomain(),
                base.regions(),
                base.withdrawalLimit(),
                base.shutdownLimit(),
                base.retryRatio(),
                base.retryWindow(),
                base.retrySlack(),
                base.rateWindow(),
                base.rateExcess(),
                base.rateSlack(),
                base.coldExcess(),
                base.coldSlack(),
                base.orderInterval(),
                BOUNDS);
    }

    void run(final Duration time) {
        final Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(TICK);
            for (int i = 0; i < sites.size(); i++) {
                sites.get(i).advanceClock(TICK);
                fireTimers(i);
            }
            while (!deliveries.isEmpty() && !deliveries.peek().due().isAfter(now)) {
                final Delivery delivery = deliveries.poll();
                if (members.get(delivery.receiver()).incarnation().equals(delivery.process())) {
                    step(delivery.receiver(), delivery.event());
                }
            }
            double arrivals = perSecond * TICK.toMillis() / 1000;
            while (arrivals > 0 && (arrivals >= 1 || random.nextDouble() < arrivals)) {
                final int index = random.nextInt(sites.size());
                sites.get(index).call(PATHS.get(random.nextInt(PATHS.size())));
                drain(index);
                arrivals--;
            }
        }
    }

    private void fireTimers(final int index) {
        for (final Map.Entry<TimerKey, Instant> timer :
                List.copyOf(timers.get(index).entrySet())) {
            if (!timer.getValue().isAfter(now)) {
                timers.get(index).remove(timer.getKey());
                step(index, new Event.TimerFired(timer.getKey()));
            }
        }
    }

    private void step(final int index, final Event event) {
        sites.get(index).step(event);
        drain(index);
    }

    private void drain(final int index) {
        final List<Effect> effects = List.copyOf(sites.get(index).effects());
        sites.get(index).effects().clear();
        for (final Effect effect : effects) {
            switch (effect) {
                case Effect.StartTimer(var key, Instant due) ->
                    timers.get(index).put(key, due);
                case Effect.SendToPeer(Member receiver, var message) -> sendToPeer(index, receiver, message);
                case Effect.ConfirmTable(StoreRevision known) ->
                    reply(index, 5, new Event.TableConfirmed(Optional.empty(), new StoreRevision(0, 1), now));
                case Effect.AwaitStoreChanges(StoreRevision known, Duration wait) -> watch(index, known.number());
                case Effect.WriteRolloutPlan(var plan, var expected) -> writePlan(index, plan, expected.number());
                case Effect.InstructCall(RequestIdentifier request, CallInstruction.Send send) ->
                    serve(index, request, send);
                default -> {}
            }
        }
    }

    private void sendToPeer(
            final int sender, final Member receiver, final org.lacewingstep.blackboard.PeerMessage message) {
        final int index = members.indexOf(receiver);
        if (index >= 0 && !isCut(sender) && !isCut(index) && random.nextDouble() >= lostMessages) {
            reply(index, 1, new Event.PeerMessageReceived(members.get(sender).incarnation(), message));
        }
    }

    private void watch(final int index, final long known) {
        if (isCut(index) || storeCut.contains(index)) {
            reply(index, 800, new Event.StoreWatchFailed(false, "no response"));
            return;
        }
        final List<StoreChange> changes = List.copyOf(written.subList((int) Math.max(0, known - 100), written.size()));
        final StoreRevision revision = new StoreRevision(0, 100 + written.size());
        reply(index, changes.isEmpty() ? 200 : 5, new Event.StoreChanged(changes, revision));
    }

    private void writePlan(final int index, final RolloutPlan plan, final long expected) {
        if (isCut(index) || storeCut.contains(index)) {
            reply(index, 800, ended(plan, Optional.empty()));
            return;
        }
        final boolean accepted = expected == planRevision;
        if (accepted) {
            plans.add(plan);
            planRevision = 100 + written.size() + 1;
            write(new StoreChange.RolloutPlanChanged(plan, new StoreRevision(0, planRevision)));
        }
        final boolean lost = random.nextDouble() < lostResponses;
        reply(index, lost ? 800 : 5, ended(plan, accepted && !lost ? Optional.of(planRevision) : Optional.empty()));
    }

    private static Event ended(final RolloutPlan plan, final Optional<Long> revision) {
        return new Event.RolloutAdvanced(
                new RolloutOccurrence.PlanWriteEnded(plan, revision.map(number -> new StoreRevision(0, number))));
    }

    private void serve(final int index, final RequestIdentifier request, final CallInstruction.Send send) {
        final String path = sites.get(index)
                .board()
                .serving()
                .calls()
                .calls()
                .get(request)
                .parameters()
                .path();
        final Response response = behaviour.respond(send.upstream(), path, now);
        sent.add(new Sent(index, send.upstream(), path, now, response));
        reply(
                index,
                response.time().toMillis(),
                new Event.CallAttemptEnded(request, send.attempt(), response.result()));
    }

    private void reply(final int index, final long delayMillis, final Event event) {
        number++;
        deliveries.add(new Delivery(
                now.plusMillis(delayMillis), number, index, members.get(index).incarnation(), event));
    }

    private boolean isCut(final int index) {
        return cutUntil.getOrDefault(index, Instant.EPOCH).isAfter(now);
    }

    void write(final StoreChange change) {
        written.add(change);
    }

    /** Writes the last result once more for an instance that did not know of it. */
    void writeResultAgain() {
        final RolloutPlan last = plans.getLast();
        planRevision = 100 + written.size() + 1;
        write(new StoreChange.RolloutPlanChanged(
                last.with(last.stage(), last.tally(), new InstanceName("late")), new StoreRevision(0, planRevision)));
    }

    /** Orders a rollout; the upstreams of the version start at the same time. */
    void order(final VersionName target, final Duration limit) {
        order = Optional.of(new RolloutOrder(SiteFixture.LEDGER, target, limit, 100 + written.size() + 1));
        write(new StoreChange.RolloutOrdered(order.get()));
    }

    void startUpstreams(final VersionName version, final String prefix) {
        for (int i = 0; i < UPSTREAMS; i++) {
            final RegisteredUpstream upstream = upstream(prefix + i, version, i);
            upstreams.add(upstream);
            write(new StoreChange.UpstreamRegistered(upstream));
        }
    }

    /** Removes the upstreams of a version from the store, so that nobody knows them until they are registered again. */
    List<RegisteredUpstream> loseUpstreams(final VersionName version) {
        final List<RegisteredUpstream> lost = upstreams.stream()
                .filter(upstream -> upstream.version().equals(version))
                .toList();
        upstreams.removeAll(lost);
        lost.forEach(upstream -> write(new StoreChange.UpstreamUnregistered(upstream.name())));
        return lost;
    }

    void register(final List<RegisteredUpstream> found) {
        upstreams.addAll(found);
        found.forEach(upstream -> write(new StoreChange.UpstreamRegistered(upstream)));
    }

    /** Replaces an instance with a new process that knows nothing but the content of the store. */
    void restart(final int index) {
        final Member old = members.get(index);
        members.set(
                index,
                new Member(
                        new Incarnation(old.name(), old.incarnation().number() + 1),
                        old.address(),
                        old.failureDomain()));
        write(new StoreChange.InstanceRegistered(members.get(index)));
        start(index, false);
    }

    void cut(final int index, final Duration time) {
        cutUntil.put(index, now.plus(time));
    }

    void cutFromStore(final int index) {
        storeCut.add(index);
    }

    void healStore() {
        storeCut.clear();
    }

    void loseResponses(final double share) {
        lostResponses = share;
    }

    void loseMessages(final double share) {
        lostMessages = share;
    }

    void respond(final Behaviour next) {
        behaviour = next;
    }

    List<Sent> sent() {
        return sent;
    }

    List<RolloutPlan> plans() {
        return plans;
    }

    List<RolloutPlan.Stage> stages() {
        return plans.stream().map(RolloutPlan::stage).toList();
    }

    List<SiteFixture> sites() {
        return sites;
    }

    Instant now() {
        return now;
    }

    Random random() {
        return random;
    }
}
