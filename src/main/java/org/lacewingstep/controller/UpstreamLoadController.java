package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.blackboard.AllowanceChange;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.SiteSection;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.blackboard.UpstreamLoadSection;
import org.lacewingstep.blackboard.UpstreamLoadSection.Broadcast;
import org.lacewingstep.blackboard.UpstreamLoadSection.Load;
import org.lacewingstep.blackboard.UpstreamLoadSection.PeerLoad;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamUse;
import org.pcollections.PMap;
import org.pcollections.PVector;

/** Counts the running requests of this instance at each upstream and tracks failures, refusals and back-off. */
public final class UpstreamLoadController implements Controller<UpstreamLoadSection> {
    /** Back-off after the first refusal by an upstream, doubled with each further refusal in a row. */
    private static final Duration REFUSAL_BACKOFF = Duration.ofMillis(150);

    /** Back-off of an upstream that has sent nothing for longer than usual while an attempt is running. */
    private static final Duration STALL_BACKOFF = Duration.ofSeconds(1);

    /** First back-off of an upstream that is unreachable or timed out; doubled with up to three further failures. */
    private static final Duration FAILURE_BACKOFF = Duration.ofSeconds(1);

    /** Failures in a row after which an upstream is in back-off even if it was reached and did not time out. */
    private static final int FAILURES_BEFORE_BACKOFF = 2;

    /** Weight of the latest attempt in the moving failure share. */
    private static final double LATEST_ATTEMPT_WEIGHT = 0.2;

    private static final int SERVER_ERROR = 500;
    private static final int MAX_FAILURE_DOUBLINGS = 3;
    private static final int MAX_REFUSAL_DOUBLINGS = 4;

    @Override
    public Class<UpstreamLoadSection> section() {
        return UpstreamLoadSection.class;
    }

    @Override
    public Outcome<UpstreamLoadSection> step(final Blackboard board, final Event event, final Instant now) {
        final UpstreamLoadSection section = board.serving().loads();
        return switch (event) {
            case Event.SiteConfigured configured -> scheduleBroadcast(board, section, now);
            case Event.UpstreamOccupied(RegisteredUpstream upstream, long tokens) ->
                scheduleBroadcast(board, withRequestStarted(section, upstream, tokens, now), now);
            case Event.UpstreamReleased(UpstreamName name, long tokens, Optional<CallResult> result) ->
                scheduleBroadcast(board, withRequestEnded(section, name, tokens, result, now), now);
            case Event.UpstreamStalled(UpstreamName name, var replaceable) ->
                Outcome.of(with(section, name, section.of(name).withBackOff(now.plus(STALL_BACKOFF))));
            case Event.AllowanceChanged(AllowanceChange.Spent(var team, long units))
            when AllowanceShare.isReportedSoon(board, units) ->
                scheduleEarlyBroadcast(section, now.plus(board.serving().site().shortDelay()));
            case Event.LoadReportRequested() -> scheduleBroadcast(board, section, now);
            case Event.TimerFired(TimerKey.LoadBroadcast()) -> broadcast(board, now);
            case Event.PeerLoadReported(Incarnation sender, PeerMessage.SiteLoad load) ->
                Outcome.of(section.withoutReportsUntil(
                                now.minus(board.serving().site().peerTimeout()))
                        .withReport(sender.instance(), new PeerLoad(now, load.uses())));
            case Event.StoreRead(var content, StoreRevision revision, Instant requestedAt) ->
                Outcome.of(withoutRemoved(board, section));
            case Event.StoreChanged(var changes, StoreRevision revision) -> Outcome.of(withoutRemoved(board, section));
            default -> Outcome.of(section);
        };
    }

    /** Removes idle upstreams that are no longer registered, and instances that are no longer present. */
    private static UpstreamLoadSection withoutRemoved(final Blackboard board, final UpstreamLoadSection section) {
        PMap<UpstreamName, Load> loads = section.loads();
        for (final Map.Entry<UpstreamName, Load> entry : section.loads().entrySet()) {
            final boolean idle = entry.getValue().running().requests() == 0;
            if (idle && !board.serving().registry().upstreams().containsKey(entry.getKey())) {
                loads = loads.minus(entry.getKey());
            }
        }
        UpstreamLoadSection next = section.withLoads(loads);
        for (final InstanceName instance : section.peers().keySet()) {
            if (!board.serving().site().present().containsKey(instance)) {
                next = next.withoutReport(instance);
            }
        }
        return next;
    }

    /** Schedules a load broadcast after a short delay, so that changes until then are sent together. */
    private static Outcome<UpstreamLoadSection> scheduleBroadcast(
            final Blackboard board, final UpstreamLoadSection section, final Instant now) {
        final Instant due = now.plus(board.serving().site().broadcastDelay());
        final Broadcast known = section.broadcast();
        final Instant usesDue = known.usesDue().isAfter(due) ? due : known.usesDue();
        return schedule(section, new Broadcast(earlier(known.due(), usesDue), usesDue, known.uses()));
    }

    /**
     * Schedules a load broadcast for what cannot wait. It repeats the uses of the last one, since memory that is
     * reserved would be known early, and late that it was given back.
     */
    private static Outcome<UpstreamLoadSection> scheduleEarlyBroadcast(
            final UpstreamLoadSection section, final Instant due) {
        final Broadcast known = section.broadcast();
        return schedule(section, new Broadcast(earlier(known.due(), due), known.usesDue(), known.uses()));
    }

    private static Outcome<UpstreamLoadSection> schedule(final UpstreamLoadSection section, final Broadcast next) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        if (next.due().isBefore(section.broadcast().due())) {
            builder.add(new Effect.StartTimer(new TimerKey.LoadBroadcast(), next.due()));
        }
        return builder.outcome(next.equals(section.broadcast()) ? section : section.withBroadcast(next));
    }

    private static Instant earlier(final Instant first, final Instant second) {
        return first.isBefore(second) ? first : second;
    }

    private static Outcome<UpstreamLoadSection> broadcast(final Blackboard board, final Instant now) {
        final UpstreamLoadSection section = board.serving().loads();
        final OutcomeBuilder builder = new OutcomeBuilder();
        final boolean early = section.broadcast().isEarly();
        final Map<UpstreamName, UpstreamUse> uses = early ? section.broadcast().uses() : uses(section, now);
        final PeerMessage message = new PeerMessage.SiteLoad(
                uses,
                AllowanceShare.recentSpending(board, now),
                PromptReports.create(board.serving().prompts(), now),
                UpstreamAvailability.reportedLeaving(board, now),
                DemandReports.own(board, now),
                UpstreamSpeeds.reported(board, now),
                RolloutCounting.reported(board));
        reportReceivers(board, now).forEach(member -> builder.add(new Effect.SendToPeer(member, message)));
        final Instant due = early ? section.broadcast().usesDue() : now.plus(SiteSection.BROADCAST_INTERVAL);
        builder.add(new Effect.StartTimer(new TimerKey.LoadBroadcast(), due));
        return builder.outcome(section.withBroadcast(new Broadcast(due, due, uses)));
    }

    private static Map<UpstreamName, UpstreamUse> uses(final UpstreamLoadSection section, final Instant now) {
        final Map<UpstreamName, UpstreamUse> uses = new HashMap<>();
        section.loads().forEach((name, load) -> {
            final UpstreamUse running = load.running();
            final int arrivals = (int) load.recentArrivals(now);
            if (running.requests() > 0 || arrivals > 0) {
                uses.put(name, new UpstreamUse(running.requests(), running.tokens(), arrivals));
            }
        });
        return uses;
    }

    /** Lists the receivers of a report; a relay sends its own report to itself and passes it on with the others. */
    private static List<Member> reportReceivers(final Blackboard board, final Instant now) {
        if (!board.serving().site().isRelayed()) {
            return board.serving().site().others();
        }
        return RelayPolicy.isRelay(board, now)
                ? List.of(board.identity().member())
                : RelayPolicy.relayOfRank(board, board.serving().relay().query().rank()).stream()
                        .toList();
    }

    private static UpstreamLoadSection withRequestStarted(
            final UpstreamLoadSection section,
            final RegisteredUpstream upstream,
            final long tokens,
            final Instant now) {
        final Load known = section.of(upstream.name());
        final Load load = known.startedAtMillis() == upstream.startedAtMillis()
                ? known
                : Load.startedAt(upstream.startedAtMillis());
        final Instant oldest = now.minusSeconds(1);
        PVector<Instant> arrivals = load.arrivals();
        while (!arrivals.isEmpty() && !arrivals.getFirst().isAfter(oldest)) {
            arrivals = arrivals.minus(0);
        }
        final UpstreamUse running = load.running().plus(new UpstreamUse(1, tokens));
        return with(section, upstream.name(), load.withRunning(running, arrivals.plus(now)));
    }

    private static UpstreamLoadSection withRequestEnded(
            final UpstreamLoadSection section,
            final UpstreamName name,
            final long tokens,
            final Optional<CallResult> result,
            final Instant now) {
        final Load load = section.of(name);
        final Load freed = load.withRunning(load.running().minusRequest(tokens), load.arrivals());
        return with(
                section,
                name,
                result.map(ended -> withResult(freed, ended, now)).orElse(freed));
    }

    private static Load withResult(final Load load, final CallResult result, final Instant now) {
        return switch (result) {
            case CallResult.Served() -> withSuccess(load);
            case CallResult.FailedByUpstream(int status) ->
                status < SERVER_ERROR ? withSuccess(load) : withServerError(load);
            case CallResult.NotRun(boolean reached) -> reached ? withRefusal(load, now) : withFailure(load, true, now);
            case CallResult.Broken broken -> withFailure(load, broken.silent(), now);
        };
    }

    private static Load withSuccess(final Load load) {
        return load.withHealth(load.failureShare() * (1 - LATEST_ATTEMPT_WEIGHT), 0, 0, Instant.EPOCH);
    }

    /** Raises the failure share without a back-off, because some calls fail at every upstream of a service. */
    private static Load withServerError(final Load load) {
        return load.withHealth(raisedFailureShare(load), load.failuresInRow(), load.refusalsInRow(), load.avoidUntil());
    }

    private static Load withFailure(final Load load, final boolean unresponsive, final Instant now) {
        final int failures = load.failuresInRow() + 1;
        final int doublings = Math.min(MAX_FAILURE_DOUBLINGS, failures - 1);
        final Duration backoff = FAILURE_BACKOFF.multipliedBy(1L << doublings);
        final Load counted =
                load.withHealth(raisedFailureShare(load), failures, load.refusalsInRow(), load.avoidUntil());
        return unresponsive || failures >= FAILURES_BEFORE_BACKOFF ? counted.withBackOff(now.plus(backoff)) : counted;
    }

    /**
     * Doubles the back-off with each further refusal: a single refusal means that the upstream is full, many in a row
     * mean that the upstream serves no requests at all.
     */
    private static Load withRefusal(final Load load, final Instant now) {
        final int refusals = load.refusalsInRow() + 1;
        return load.withHealth(load.failureShare(), load.failuresInRow(), refusals, load.avoidUntil())
                .withBackOff(now.plus(refusalBackOff(refusals)));
    }

    /**
     * Computes the back-off after refusals.
     *
     * @param refusals the number of refusals in a row, one or more
     * @return the back-off, never null
     */
    static Duration refusalBackOff(final int refusals) {
        return REFUSAL_BACKOFF.multipliedBy(1L << Math.min(MAX_REFUSAL_DOUBLINGS, refusals - 1));
    }

    private static double raisedFailureShare(final Load load) {
        return load.failureShare() * (1 - LATEST_ATTEMPT_WEIGHT) + LATEST_ATTEMPT_WEIGHT;
    }

    private static UpstreamLoadSection with(
            final UpstreamLoadSection section, final UpstreamName name, final Load load) {
        return section.withLoads(section.loads().plus(name, load));
    }
}
