package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.blackboard.AllowanceChange;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.CallSection;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.CallSection.CallPhase;
import org.lacewingstep.blackboard.Decision;
import org.lacewingstep.blackboard.Decision.Input;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.blackboard.RolloutOccurrence;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.controller.PromptQuarantine.QuarantinedPart;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RouteKind;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.placement.ReturnDelay;

/** Sends a call to an upstream, queues the call until an upstream has capacity, or refuses the call. */
final class CallPlacement {
    /** Interval at which queued calls search again, for capacity that other instances have released. */
    private static final Duration QUEUE_POLL_INTERVAL = Duration.ofMillis(40);

    /** Wait for engine capacity beyond the latency target of a stream; about the duration of one response. */
    private static final Duration STREAM_EXTRA_WAIT = Duration.ofSeconds(2);

    /** How long a processed prompt is reused; shorter than the 500 ms for which an upstream keeps the prompt. */
    private static final Duration PROMPT_REUSE_PERIOD = Duration.ofMillis(350);

    /** Fraction of the latency target without data from the upstream after which an attempt may be replaced. */
    private static final double RESPONSE_TIMEOUT_FRACTION = 0.75;

    /** Shortest time without data from the upstream after which an attempt may be replaced. */
    private static final Duration MIN_RESPONSE_TIMEOUT = Duration.ofMillis(600);

    /** Longest silence of a sound upstream; callers abandon a stream after two seconds at the earliest. */
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1500);

    /** Least time before the deadline at which an attempt is still started. */
    private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(30);

    /** Roles of the upstreams that generate responses. */
    static final Set<UpstreamRole> RESPONDING_ROLES = Set.of(UpstreamRole.DECODE, UpstreamRole.PLAIN);

    private CallPlacement() {}

    /**
     * Places a queued call: reserves memory at an upstream or sends the call there, else keeps or refuses the call.
     *
     * @param board the blackboard, not null
     * @param call the call, in phase {@code Queued}, not null
     * @param builder collects the effects and events, not null
     * @param now the present time, not null
     * @return the updated section with the resulting effects and events, never null
     */
    static Outcome<CallSection> place(
            final Blackboard board, final Call call, final OutcomeBuilder builder, final Instant now) {
        if (!CallAdmission.mayStillRun(board, call, now)) {
            return refuse(board, call, builder, ErrorCode.NOT_READY, "the key was withdrawn or cannot be proved", now);
        }
        final Optional<QuarantinedPart> part = PromptQuarantine.find(board, call.parameters(), now);
        if (part.isPresent()) {
            return refuse(
                    board,
                    call,
                    builder,
                    ErrorCode.PROMPT_QUARANTINED,
                    part.get().reason(),
                    now);
        }
        if (isTooLateToSend(call, now)) {
            return refuse(board, call, builder, ErrorCode.NO_CAPACITY, "no upstream was free in time", now);
        }
        final FailureDomainName ownDomain = board.serving().site().bounds().failureDomain();
        return UpstreamChoice.choose(board, call, RESPONDING_ROLES, ownDomain, now)
                .map(upstream -> reserveOrSend(board, call, upstream, builder, now))
                .orElseGet(() -> queue(board, call, builder, now));
    }

    /**
     * Handles the response to a reservation request: sends the call, or queues the call again.
     *
     * @param board the blackboard, not null
     * @param call the call, in phase {@code Reserving}, not null
     * @param result the result of the reservation request, not null
     * @param now the present time, not null
     * @return the updated section with the resulting effects and events, never null
     */
    static Outcome<CallSection> handleReservationResult(
            final Blackboard board, final Call call, final CallResult result, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        return switch (call.phase()) {
            case CallPhase.Reserving(UpstreamName name, Instant until) -> {
                final Optional<RegisteredUpstream> upstream = UpstreamChoice.findRegistered(board, name);
                final boolean quarantined =
                        PromptQuarantine.find(board, call.parameters(), now).isPresent();
                if (result instanceof CallResult.Served
                        && isPlaceable(board, upstream, now)
                        && !quarantined
                        && CallAdmission.mayStillRun(board, call, now)) {
                    yield send(board, call, upstream.get(), builder, now);
                }
                rejectReservation(board, call, name, result, builder, now);
                final Call queued = call.withPhase(new CallPhase.Queued(until));
                yield quarantined ? place(board, queued, builder, now) : queue(board, queued, builder, now);
            }
            case CallPhase.Replacing(CallPhase.Sent stalled, UpstreamName name) -> {
                final Optional<RegisteredUpstream> upstream = UpstreamChoice.findRegistered(board, name);
                if (result instanceof CallResult.Served
                        && isPlaceable(board, upstream, now)
                        && CallCompletion.retryObstacle(board, call, true, now).isEmpty()) {
                    yield AttemptReplacement.send(board, call, stalled, upstream.get(), builder, now);
                }
                rejectReservation(board, call, name, result, builder, now);
                final Call continued = call.withPhase(stalled);
                CallCharge.move(call, continued, builder);
                yield builder.outcome(CallController.with(board.serving().calls(), continued));
            }
            case CallPhase.Queued queued -> builder.outcome(board.serving().calls());
            case CallPhase.Sent sent -> builder.outcome(board.serving().calls());
        };
    }

    private static boolean isPlaceable(
            final Blackboard board, final Optional<RegisteredUpstream> upstream, final Instant now) {
        return upstream.filter(found -> UpstreamAvailability.acceptsRequests(board, found, now))
                .isPresent();
    }

    /**
     * Returns whether too little time remains before the deadline for another attempt.
     *
     * @param call the call, not null
     * @param now the present time, not null
     * @return true if no attempt should be started
     */
    static boolean isTooLateToSend(final Call call, final Instant now) {
        return Duration.between(now, call.deadline()).compareTo(MIN_ATTEMPT_TIME) < 0;
    }

    private static void rejectReservation(
            final Blackboard board,
            final Call call,
            final UpstreamName name,
            final CallResult result,
            final OutcomeBuilder builder,
            final Instant now) {
        builder.add(new Event.UpstreamReleased(name, call.tokens(), Optional.of(result)));
        builder.add(new Effect.Log(Decision.on(
                "reservation",
                call.parameters().request(),
                "not reserved",
                Input.of("upstream", name),
                Input.of("result", result),
                Input.of("running", board.serving().use(name, now)))));
    }

    /** Adds the call to the load reported to all instances, then reserves memory at the upstream or sends the call. */
    private static Outcome<CallSection> reserveOrSend(
            final Blackboard board,
            final Call call,
            final RegisteredUpstream upstream,
            final OutcomeBuilder builder,
            final Instant now) {
        builder.add(new Event.UpstreamOccupied(upstream, call.tokens()));
        if (!(call.phase() instanceof CallPhase.Queued(Instant until))
                || !ReservationRequest.isNeeded(board, call, upstream)) {
            return send(board, call, upstream, builder, now);
        }
        builder.add(ReservationRequest.create(board, call, upstream));
        return builder.outcome(CallController.with(
                board.serving().calls(), call.withPhase(new CallPhase.Reserving(upstream.name(), until))));
    }

    /**
     * Computes how long a call may wait for an upstream.
     *
     * @param call the call, not null
     * @param now the present time, not null
     * @return the longest wait from now, never null
     */
    static Duration queueWaitLimit(final Call call, final Instant now) {
        final Duration target = call.route().latencyTarget();
        final Duration waitLimit =
                call.route().kind() instanceof RouteKind.EventStream ? target.plus(STREAM_EXTRA_WAIT) : target;
        return shorter(waitLimit, Duration.between(now, call.deadline()).dividedBy(2));
    }

    /**
     * Computes after which time the caller of a refused call should return.
     *
     * @param call the refused call, not null
     * @param now the present time, not null
     * @return the delay, never null
     */
    static Duration returnDelay(final Call call, final Instant now) {
        return ReturnDelay.of(
                call.parameters().request(),
                Duration.between(call.parameters().receivedAt(), now),
                Duration.between(now, call.deadline()));
    }

    private static Outcome<CallSection> queue(
            final Blackboard board, final Call call, final OutcomeBuilder builder, final Instant now) {
        if (!(call.phase() instanceof CallPhase.Queued(Instant until)) || !now.isBefore(until)) {
            return refuse(board, call, builder, ErrorCode.NO_CAPACITY, "no upstream is free", now);
        }
        final Optional<Duration> delay = UpstreamAvailability.refusalDelay(board, call, until, now);
        if (delay.isPresent()) {
            return refuse(
                    board,
                    call,
                    builder,
                    new Refusal(ErrorCode.NO_CAPACITY, "all upstreams leave or have asked for a pause", delay.get()));
        }
        final Optional<Duration> forecastDelay = QueueForecast.refusalDelay(board, call, until, now);
        if (forecastDelay.isPresent()) {
            return refuse(
                    board,
                    call,
                    builder,
                    new Refusal(ErrorCode.NO_CAPACITY, "no upstream will be free in time", forecastDelay.get()));
        }
        builder.add(new Effect.StartTimer(new TimerKey.CallQueue(call.service()), now.plus(QUEUE_POLL_INTERVAL)));
        return builder.outcome(CallController.with(board.serving().calls(), call));
    }

    private static Outcome<CallSection> refuse(
            final Blackboard board,
            final Call call,
            final OutcomeBuilder builder,
            final ErrorCode code,
            final String message,
            final Instant now) {
        return refuse(board, call, builder, new Refusal(code, message, returnDelay(call, now)));
    }

    private static Outcome<CallSection> refuse(
            final Blackboard board, final Call call, final OutcomeBuilder builder, final Refusal refusal) {
        builder.add(new Effect.Log(Decision.on(
                "placement",
                call.parameters().request(),
                "refused " + refusal.code(),
                Input.of("reason", refusal.message()),
                Input.of("service", call.service()),
                Input.of("attempts", call.attempts()),
                Input.of("upstreams", board.serving().registry().upstreams().size()))));
        builder.add(new Effect.InstructCall(
                call.parameters().request(),
                call.mayHaveRun()
                        ? new CallInstruction.Fail(ErrorCode.UPSTREAM_FAILED, refusal.message())
                        : new CallInstruction.Refuse(refusal)));
        CallCharge.end(call, builder);
        return builder.outcome(CallController.without(board.serving().calls(), call));
    }

    /**
     * Sends a call to an upstream.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param upstream the upstream that generates the response, not null
     * @param builder collects the effects and events, not null
     * @param now the present time, not null
     * @return the updated section with the resulting effects and events, never null
     */
    static Outcome<CallSection> send(
            final Blackboard board,
            final Call call,
            final RegisteredUpstream upstream,
            final OutcomeBuilder builder,
            final Instant now) {
        final boolean promptKept = isPromptKept(call, now);
        final Optional<RegisteredUpstream> prefill =
                promptKept ? Optional.empty() : choosePrefill(board, call, upstream, now);
        final int attempt = call.attempts() + 1;
        builder.add(new Event.RolloutAdvanced(new RolloutOccurrence.AttemptSent(
                call.parameters().request(), attempt, upstream, call.route().name())));
        prefill.ifPresent(chosen -> builder.add(new Event.UpstreamOccupied(chosen, call.tokens())));
        if (call.tried().isEmpty()) {
            CallCharge.sendFirst(call, builder);
        } else if (attempt > 1) {
            builder.add(new Event.AllowanceChanged(new AllowanceChange.RetrySent(call.service())));
        }
        builder.add(SentCallLog.create(board, call, attempt, upstream, prefill, now));
        builder.add(new Effect.InstructCall(
                call.parameters().request(),
                sendInstruction(board, call, attempt, upstream, prefill, promptKept, now)));
        final Set<UpstreamName> tried = new HashSet<>(call.tried());
        tried.add(upstream.name());
        return builder.outcome(CallController.with(
                board.serving().calls(),
                call.with(
                        attempt,
                        tried,
                        Optional.empty(),
                        call.mayHaveRun(),
                        new CallPhase.Sent(attempt, upstream.name(), prefill.map(RegisteredUpstream::name)))));
    }

    /** Returns whether a processed prompt that no upstream has fetched is still kept. */
    private static boolean isPromptKept(final Call call, final Instant now) {
        return call.promptReadyAt()
                .map(at -> at.plus(PROMPT_REUSE_PERIOD).isAfter(now))
                .orElse(false);
    }

    private static CallInstruction.Send sendInstruction(
            final Blackboard board,
            final Call call,
            final int attempt,
            final RegisteredUpstream upstream,
            final Optional<RegisteredUpstream> prefill,
            final boolean promptKept,
            final Instant now) {
        return new CallInstruction.Send(
                attempt,
                upstream,
                prefill,
                promptKept,
                call.team(),
                call.deadline(),
                retryTimeout(call, attempt, responseTimeout(board, call, upstream, now), now),
                retryTimeout(call, attempt, SILENCE_TIMEOUT, now),
                call.route().kind() instanceof RouteKind.EventStream,
                ReservationRequest.connectionLimit(board, call),
                board.serving().routing().table().isRanked(call.service())
                        ? Optional.of(call.urgency())
                        : Optional.empty());
    }

    private static Optional<RegisteredUpstream> choosePrefill(
            final Blackboard board, final Call call, final RegisteredUpstream upstream, final Instant now) {
        if (upstream.role() != UpstreamRole.DECODE
                || !call.tried().isEmpty()
                || AllowanceShare.retryBudget(board, call.service(), now).isOverdrawn()) {
            return Optional.empty();
        }
        final Call placed = call.withPhase(new CallPhase.Sent(1, upstream.name(), Optional.empty()));
        return UpstreamChoice.choose(board, placed, Set.of(UpstreamRole.PREFILL), upstream.failureDomain(), now);
    }

    /** Limits the time without progress after which an attempt is replaced to the time that remains. */
    private static Duration retryTimeout(
            final Call call, final int attempt, final Duration timeout, final Instant now) {
        final Duration remaining = Duration.between(now, call.deadline());
        final boolean retryable =
                call.route().kind().isRepeatable() && attempt < call.route().attemptLimit();
        return retryable && timeout.compareTo(remaining) < 0 ? timeout : remaining;
    }

    /**
     * Computes how long an attempt may wait for its first data. Where no memory can be reserved, the next upstream may
     * refuse a call that the silent one would have served, so the call waits for as long as a sound upstream is silent.
     */
    private static Duration responseTimeout(
            final Blackboard board, final Call call, final RegisteredUpstream upstream, final Instant now) {
        final Duration targetFraction =
                Duration.ofNanos((long) (call.route().latencyTarget().toNanos() * RESPONSE_TIMEOUT_FRACTION));
        final Duration halfOfRemaining = Duration.between(now, call.deadline()).dividedBy(2);
        final Duration preferred = ReservationRequest.isNeeded(board, call, upstream)
                ? targetFraction
                : shorter(SILENCE_TIMEOUT, halfOfRemaining);
        return preferred.compareTo(MIN_RESPONSE_TIMEOUT) > 0 ? preferred : MIN_RESPONSE_TIMEOUT;
    }

    private static Duration shorter(final Duration first, final Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }
}
