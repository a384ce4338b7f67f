package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.blackboard.AllowanceChange;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallParameters;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.CallSection;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.CallSection.CallPhase;
import org.lacewingstep.blackboard.Decision;
import org.lacewingstep.blackboard.Decision.Input;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.LifecycleSection.Stage;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.SiteDemand;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.placement.QueueOrder;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePVector;

/** Manages calls from arrival to completion: admission, placement at upstreams, retries and deadlines. */
public final class CallController implements Controller<CallSection> {
    @Override
    public Class<CallSection> section() {
        return CallSection.class;
    }

    @Override
    public Outcome<CallSection> step(final Blackboard board, final Event event, final Instant now) {
        return switch (event) {
            case Event.CallArrived(CallParameters parameters) -> handleArrival(board, parameters, now);
            case Event.CallAttemptEnded(RequestIdentifier request, int attempt, CallResult result) ->
                find(board, request)
                        .map(call -> endAttempt(board, call, attempt, result, now))
                        .orElseGet(() -> unchanged(board));
            case Event.UpstreamStalled(var upstream, Optional<AttemptIdentifier> replaceable) ->
                replaceable
                        .flatMap(attempt ->
                                find(board, attempt.request()).filter(call -> isCurrentAttempt(call, attempt.number())))
                        .map(call -> AttemptReplacement.start(board, call, now))
                        .orElseGet(() -> unchanged(board));
            case Event.PrefillEnded(RequestIdentifier request, int attempt, CallResult result) ->
                find(board, request)
                        .filter(call -> isCurrentAttempt(call, attempt))
                        .map(call -> handlePrefillEnd(board, call, result, now))
                        .orElseGet(() -> unchanged(board));
            case Event.ReservationCompleted(RequestIdentifier request, UpstreamName upstream, CallResult result) ->
                find(board, request)
                        .filter(call -> isReservingAt(call, upstream))
                        .map(call -> CallPlacement.handleReservationResult(board, call, result, now))
                        .orElseGet(() -> unchanged(board));
            case Event.CallAbandoned(RequestIdentifier request) ->
                find(board, request).map(call -> abandon(board, call)).orElseGet(() -> unchanged(board));
            case Event.TimerFired(TimerKey.CallDeadline(RequestIdentifier request)) ->
                find(board, request)
                        .map(call -> CallCompletion.expire(board, call, now))
                        .orElseGet(() -> unchanged(board));
            case Event.TimerFired(TimerKey.LifecycleCheck())
            when board.lifecycle().stage() instanceof Stage.Leaving -> endAll(board);
            case Event.TimerFired(TimerKey.CallQueue(ServiceName service)) -> serveQueue(board, service, now);
            case Event.UpstreamReleased(UpstreamName name, long tokens, var result) ->
                UpstreamChoice.findRegistered(board, name)
                        .map(upstream -> release(board, upstream, tokens, result, now))
                        .orElseGet(() -> unchanged(board));
            case Event.PeerLoadReported(Incarnation sender, PeerMessage.SiteLoad load) ->
                Outcome.of(board.serving()
                        .calls()
                        .withDemand(board.serving()
                                .calls()
                                .demand()
                                .withReport(sender.instance(), new SiteDemand.DemandReport(now, load.queued()))));
            case Event.TimerFired(TimerKey.LoadBroadcast()) -> refreshDemand(board, now);
            case Event.ClockJumped jumped -> Outcome.of(withoutPassages(board));
            case Event.QueuedCallsDue(List<RequestIdentifier> requests) -> placeFirst(board, requests, now);
            default -> unchanged(board);
        };
    }

    /** Fails or refuses all open calls, whose connections would otherwise end with the process without a response. */
    private static Outcome<CallSection> endAll(final Blackboard board) {
        final List<Effect> effects = new ArrayList<>();
        final List<Event> events = new ArrayList<>();
        CallSection section = board.serving().calls();
        for (final Call call : section.calls().values()) {
            final Outcome<CallSection> ended = CallCompletion.endAtShutdown(board, call);
            section = without(section, call);
            effects.addAll(ended.effects());
            events.addAll(ended.events());
        }
        return new Outcome<>(section, effects, events);
    }

    private static Outcome<CallSection> handleArrival(
            final Blackboard board, final CallParameters parameters, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        return switch (CallAdmission.decide(board, parameters, now)) {
            case CallAdmission.AdmissionDecision.Refused(var refusal, var decisionInputs) -> {
                final List<Input> inputs = new ArrayList<>(decisionInputs);
                inputs.add(Input.of("reason", refusal.message()));
                inputs.add(Input.of("version", board.serving().routing().table().version()));
                inputs.add(Input.of("proof_age_ms", confirmationAge(board, now)));
                builder.add(new Effect.Log(Decision.on(
                        "admission", parameters.request(), "refused " + refusal.code(), inputs.toArray(Input[]::new))));
                builder.add(new Effect.InstructCall(parameters.request(), new CallInstruction.Refuse(refusal)));
                yield builder.outcome(board.serving().calls());
            }
            case CallAdmission.AdmissionDecision.Admitted(Call call) -> {
                final Instant queueDeadline = now.plus(CallPlacement.queueWaitLimit(call, now));
                builder.add(new Effect.StartTimer(new TimerKey.CallDeadline(parameters.request()), call.deadline()));
                CallCharge.admit(call, builder);
                final Outcome<CallSection> placed =
                        CallPlacement.place(board, call.withPhase(new CallPhase.Queued(queueDeadline)), builder, now);
                yield new Outcome<>(
                        DemandReports.withArrival(board, placed.section(), call, now),
                        placed.effects(),
                        placed.events());
            }
        };
    }

    /** Records memory that was returned; an upstream that refused a call had given it none. */
    private static Outcome<CallSection> release(
            final Blackboard board,
            final RegisteredUpstream upstream,
            final long tokens,
            final Optional<CallResult> result,
            final Instant now) {
        final Outcome<CallSection> served = serveQueue(board, upstream.service(), now);
        final boolean held = !(result.orElse(null) instanceof CallResult.NotRun);
        return upstream.role() == UpstreamRole.DECODE && held
                ? new Outcome<>(
                        DemandReports.withRelease(board, served.section(), upstream.service(), tokens, now),
                        served.effects(),
                        served.events())
                : served;
    }

    /** Drops the demand of instances that are cut off or have ended, and computes what calls leave free. */
    private static Outcome<CallSection> refreshDemand(final Blackboard board, final Instant now) {
        final CallSection section = board.serving().calls();
        final SiteDemand demand = section.demand()
                .withoutOlderThan(now.minus(board.serving().site().peerTimeout()));
        final CallSection current = demand == section.demand() ? section : section.withDemand(demand);
        return Outcome.of(current.withReserves(DemandReports.reserves(board, current, now)));
    }

    private static CallSection withoutPassages(final Blackboard board) {
        final CallSection section = board.serving().calls();
        return new CallSection(section.calls(), TreePVector.empty(), SiteDemand.NONE, HashTreePMap.empty());
    }

    private static Outcome<CallSection> serveQueue(
            final Blackboard board, final ServiceName service, final Instant now) {
        final List<QueueOrder.QueuedCall> queued = new ArrayList<>();
        final Map<Optional<TeamName>, Integer> running = new HashMap<>();
        for (final Call call : board.serving().calls().calls().values()) {
            if (!call.service().equals(service)) {
                continue;
            }
            if (call.phase() instanceof CallPhase.Queued) {
                queued.add(new QueueOrder.QueuedCall(
                        call.parameters().request(),
                        call.parameters().receivedAt(),
                        CallTiming.canMeetLatencyTarget(call, now),
                        call.urgency(),
                        call.route().latencyTarget(),
                        call.team()));
            } else {
                running.merge(call.team(), 1, Integer::sum);
            }
        }
        if (queued.isEmpty()) {
            return unchanged(board);
        }
        return new Outcome<>(
                board.serving().calls(),
                List.of(),
                List.of(new Event.QueuedCallsDue(QueueOrder.order(queued, running, now))));
    }

    /** Places the first call; the next one follows in an event of its own, after the loads include this call. */
    private static Outcome<CallSection> placeFirst(
            final Blackboard board, final List<RequestIdentifier> requests, final Instant now) {
        final Outcome<CallSection> outcome = find(board, requests.getFirst())
                .filter(call -> call.phase() instanceof CallPhase.Queued)
                .map(call -> CallPlacement.place(board, call, new OutcomeBuilder(), now))
                .orElseGet(() -> unchanged(board));
        if (requests.size() == 1) {
            return outcome;
        }
        final List<Event> events = new ArrayList<>(outcome.events());
        events.add(new Event.QueuedCallsDue(requests.subList(1, requests.size())));
        return new Outcome<>(outcome.section(), outcome.effects(), events);
    }

    /**
     * Ends the current attempt. An attempt that was being replaced may have been served before the call was sent again;
     * its response has reached the caller.
     */
    private static Outcome<CallSection> endAttempt(
            final Blackboard board, final Call call, final int attempt, final CallResult result, final Instant now) {
        if (isCurrentAttempt(call, attempt)) {
            return CallCompletion.endAttempt(board, call, result, now);
        }
        return result instanceof CallResult.Served
                ? CallCompletion.completeByEarlierAttempt(board, call, now)
                : unchanged(board);
    }

    private static long confirmationAge(final Blackboard board, final Instant now) {
        return board.serving()
                .routing()
                .confirmedAt()
                .map(at -> Duration.between(at, now).toMillis())
                .orElse(-1L);
    }

    private static Outcome<CallSection> handlePrefillEnd(
            final Blackboard board, final Call call, final CallResult result, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        if (!(call.phase() instanceof CallPhase.Sent(int attempt, var upstream, var prefill)) || prefill.isEmpty()) {
            return unchanged(board);
        }
        builder.add(new Event.UpstreamReleased(prefill.get(), call.tokens(), Optional.of(result)));
        if (!(result instanceof CallResult.Served)) {
            builder.add(new Effect.Log(Decision.on(
                    "prefill",
                    call.parameters().request(),
                    "left to the decode upstream",
                    Input.of("prefill_upstream", prefill.get()),
                    Input.of("result", result))));
        }
        if (result instanceof CallResult.NotRun(boolean reached) && reached) {
            builder.add(new Event.AllowanceChanged(new AllowanceChange.UncountedRetry(call.service())));
        }
        final Call updated = call.with(
                call.attempts(),
                call.tried(),
                result instanceof CallResult.Served ? Optional.of(now) : Optional.empty(),
                call.mayHaveRun(),
                new CallPhase.Sent(attempt, upstream, Optional.empty()));
        return builder.outcome(with(board.serving().calls(), updated));
    }

    private static Outcome<CallSection> abandon(final Blackboard board, final Call call) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        CallCompletion.releaseUpstreams(call, Optional.empty(), builder);
        builder.add(new Effect.Log(Decision.on(
                "answer", call.parameters().request(), "caller left", Input.of("attempts", call.attempts()))));
        CallCharge.end(call, builder);
        return builder.outcome(without(board.serving().calls(), call));
    }

    private static boolean isCurrentAttempt(final Call call, final int attempt) {
        return switch (call.phase()) {
            case CallPhase.Sent sent -> sent.attempt() == attempt;
            case CallPhase.Replacing(CallPhase.Sent stalled, var replacement) -> stalled.attempt() == attempt;
            case CallPhase.Queued queued -> false;
            case CallPhase.Reserving reserving -> false;
        };
    }

    private static boolean isReservingAt(final Call call, final UpstreamName upstream) {
        return switch (call.phase()) {
            case CallPhase.Reserving(UpstreamName reservingAt, var until) -> reservingAt.equals(upstream);
            case CallPhase.Replacing(var stalled, UpstreamName replacement) -> replacement.equals(upstream);
            case CallPhase.Queued queued -> false;
            case CallPhase.Sent sent -> false;
        };
    }

    private static Optional<Call> find(final Blackboard board, final RequestIdentifier request) {
        return Optional.ofNullable(board.serving().calls().calls().get(request));
    }

    private static Outcome<CallSection> unchanged(final Blackboard board) {
        return Outcome.of(board.serving().calls());
    }

    /**
     * Adds a call to the section, or replaces the entry of the call.
     *
     * @param section the calls of this instance, not null
     * @param call the call, not null
     * @return the section with the call, never null
     */
    static CallSection with(final CallSection section, final Call call) {
        return section.withCalls(section.calls().plus(call.parameters().request(), call));
    }

    /**
     * Removes a call from the section.
     *
     * @param section the calls of this instance, not null
     * @param call the call, not null
     * @return the section without the call, never null
     */
    static CallSection without(final CallSection section, final Call call) {
        return section.withCalls(section.calls().minus(call.parameters().request()));
    }
}
