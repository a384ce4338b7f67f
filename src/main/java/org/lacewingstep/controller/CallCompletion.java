package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

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
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.error.ErrorCode;

/** Completes, retries or fails a call when an attempt ends or the deadline passes. */
final class CallCompletion {
    private static final int SERVER_ERROR = 500;

    private CallCompletion() {}

    /**
     * Handles the end of an attempt.
     *
     * @param board the blackboard, not null
     * @param call the call, in phase {@code Sent}, not null
     * @param result the result of the attempt, not null
     * @param now the present time, not null
     * @return the updated section with the resulting effects and events, never null
     */
    static Outcome<CallSection> endAttempt(
            final Blackboard board, final Call call, final CallResult result, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        if (call.phase() instanceof CallPhase.Replacing(CallPhase.Sent stalled, var replacement)
                && result instanceof CallResult.Broken
                && retryObstacle(board, call, true, now).isEmpty()) {
            return awaitReplacement(board, call, stalled, replacement, result, now);
        }
        releaseUpstreams(call, Optional.of(result), builder);
        return switch (result) {
            case CallResult.Served() -> complete(board, call, "served", builder, now);
            case CallResult.FailedByUpstream(int status)
            when status < SERVER_ERROR ->
                instruct(board, call, new CallInstruction.ForwardFailure(), builder, result, Optional.empty());
            case CallResult.FailedByUpstream failed ->
                retryOrInstruct(board, call, new CallInstruction.ForwardFailure(), builder, result, now);
            case CallResult.NotRun notRun -> handleNotRun(board, call, notRun, builder, now);
            case CallResult.Broken broken -> retryOrInstruct(board, call, failure(broken), builder, result, now);
        };
    }

    /**
     * Completes a call whose earlier attempt was served after a later one had been decided.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param now the present time, not null
     * @return the updated section with the resulting effects and events, never null
     */
    static Outcome<CallSection> completeByEarlierAttempt(final Blackboard board, final Call call, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        releaseUpstreams(call, Optional.empty(), builder);
        return complete(board, call, "served", builder, now);
    }

    /**
     * Fails or refuses a call whose deadline has passed.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param now the present time, not null
     * @return the updated section with the resulting effects and events, never null
     */
    static Outcome<CallSection> expire(final Blackboard board, final Call call, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        final CallResult result = new CallResult.Broken(true, false);
        releaseUpstreams(call, Optional.of(result), builder);
        final CallInstruction instruction = isSent(call) || call.mayHaveRun()
                ? new CallInstruction.Fail(ErrorCode.DEADLINE_EXCEEDED, "no answer before the deadline")
                : new CallInstruction.Refuse(
                        Refusal.of(ErrorCode.NO_CAPACITY, "no upstream was free before the deadline"));
        return instruct(board, call, instruction, builder, result, Optional.empty());
    }

    /**
     * Fails or refuses a call that is open when the process stops.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @return the updated section with the resulting effects and events, never null
     */
    static Outcome<CallSection> endAtShutdown(final Blackboard board, final Call call) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        releaseUpstreams(call, Optional.empty(), builder);
        final CallInstruction instruction = isSent(call) || call.mayHaveRun()
                ? new CallInstruction.Fail(ErrorCode.UPSTREAM_FAILED, "the instance stops before the answer")
                : new CallInstruction.Refuse(Refusal.of(ErrorCode.INSTANCE_DRAINING, "the instance is stopping"));
        return instruct(
                board, call, instruction, builder, new CallResult.NotRun(false), Optional.of("instance stopping"));
    }

    /**
     * Posts an event for each upstream that the call occupies, so that the load section stops counting the call there.
     *
     * @param call the call, not null
     * @param result the result of the attempt, empty if the caller abandoned the call
     * @param builder collects the events, not null
     */
    static void releaseUpstreams(final Call call, final Optional<CallResult> result, final OutcomeBuilder builder) {
        switch (call.phase()) {
            case CallPhase.Queued queued -> {}
            case CallPhase.Reserving(var upstream, Instant until) ->
                builder.add(new Event.UpstreamReleased(upstream, call.tokens(), Optional.empty()));
            case CallPhase.Sent sent -> releaseAttempt(call, sent, result, builder);
            case CallPhase.Replacing(CallPhase.Sent stalled, var replacement) -> {
                releaseAttempt(call, stalled, result, builder);
                builder.add(new Event.UpstreamReleased(replacement, call.tokens(), Optional.empty()));
            }
        }
    }

    /**
     * Posts an event for each upstream that an attempt occupies.
     *
     * @param call the call, not null
     * @param attempt the attempt, not null
     * @param result the result of the attempt, empty if the caller abandoned the call
     * @param builder collects the events, not null
     */
    static void releaseAttempt(
            final Call call,
            final CallPhase.Sent attempt,
            final Optional<CallResult> result,
            final OutcomeBuilder builder) {
        builder.add(new Event.UpstreamReleased(attempt.upstream(), call.tokens(), result));
        attempt.prefill()
                .ifPresent(name -> builder.add(new Event.UpstreamReleased(name, call.tokens(), Optional.empty())));
    }

    private static boolean isSent(final Call call) {
        return switch (call.phase()) {
            case CallPhase.Sent sent -> true;
            case CallPhase.Replacing replacing -> true;
            case CallPhase.Queued queued -> false;
            case CallPhase.Reserving reserving -> false;
        };
    }

    private static Outcome<CallSection> handleNotRun(
            final Blackboard board,
            final Call call,
            final CallResult.NotRun result,
            final OutcomeBuilder builder,
            final Instant now) {
        final Call counted = result.reached() ? call : CallCharge.withoutLastAttempt(call, now, builder);
        final Optional<String> obstacle = retryObstacle(board, counted, false, now);
        if (obstacle.isEmpty()) {
            return retry(board, counted, false, builder, result, now);
        }
        if (result.reached()) {
            CallCharge.returnUnits(call, builder);
        }
        final CallInstruction instruction = call.mayHaveRun()
                ? new CallInstruction.Fail(ErrorCode.UPSTREAM_FAILED, "the upstreams failed")
                : new CallInstruction.Refuse(new Refusal(
                        ErrorCode.NO_CAPACITY,
                        "the upstream did not take the request",
                        CallPlacement.returnDelay(call, now)));
        return instruct(board, counted, instruction, builder, result, obstacle);
    }

    /** Releases a broken attempt; the call is sent to the replacement once memory is reserved there. */
    private static Outcome<CallSection> awaitReplacement(
            final Blackboard board,
            final Call call,
            final CallPhase.Sent broken,
            final UpstreamName replacement,
            final CallResult result,
            final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        releaseAttempt(call, broken, Optional.of(result), builder);
        logRetry(call, result, builder);
        final Instant until = now.plus(CallPlacement.queueWaitLimit(call, now));
        final Call waiting = call.with(
                call.attempts(), call.tried(), Optional.empty(), true, new CallPhase.Reserving(replacement, until));
        return builder.outcome(CallController.with(board.serving().calls(), waiting));
    }

    /** Retries a call that may have run, or ends the call with the instruction if no retry is possible. */
    private static Outcome<CallSection> retryOrInstruct(
            final Blackboard board,
            final Call call,
            final CallInstruction otherwise,
            final OutcomeBuilder builder,
            final CallResult result,
            final Instant now) {
        final Optional<String> obstacle = retryObstacle(board, call, true, now);
        return obstacle.isEmpty()
                ? retry(board, call, true, builder, result, now)
                : instruct(board, call, otherwise, builder, result, obstacle);
    }

    /**
     * Returns why a call cannot be sent again.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param hasRun whether an upstream may have started to run the call
     * @param now the present time, not null
     * @return the reason, for the log; empty if the call can be sent again
     */
    static Optional<String> retryObstacle(
            final Blackboard board, final Call call, final boolean hasRun, final Instant now) {
        if (hasRun && !call.route().kind().isRepeatable()) {
            return Optional.of("not repeatable");
        }
        if (call.attempts() >= call.route().attemptLimit()) {
            return Optional.of("attempt limit");
        }
        if (hasRun
                && PromptQuarantine.findForRetry(board, call.parameters(), now).isPresent()) {
            return Optional.of("prompt quarantined");
        }
        if (call.attempts() > 0
                && !CallCharge.isHeld(call)
                && !AllowanceShare.retryBudget(board, call.service(), now).permitsRetry()) {
            return Optional.of("retry budget spent");
        }
        return now.isBefore(call.deadline()) ? Optional.empty() : Optional.of("deadline");
    }

    private static Outcome<CallSection> retry(
            final Blackboard board,
            final Call call,
            final boolean hasRun,
            final OutcomeBuilder builder,
            final CallResult result,
            final Instant now) {
        logRetry(call, result, builder);
        final Call queued = call.with(
                call.attempts(),
                call.tried(),
                hasRun ? Optional.empty() : call.promptReadyAt(),
                call.mayHaveRun() || hasRun,
                new CallPhase.Queued(now.plus(CallPlacement.queueWaitLimit(call, now))));
        CallCharge.move(call, queued, builder);
        return CallPlacement.place(board, queued, builder, now);
    }

    /**
     * Logs that a call is sent again.
     *
     * @param call the call, not null
     * @param result the result of the attempt before, not null
     * @param builder collects the effect, not null
     */
    static void logRetry(final Call call, final CallResult result, final OutcomeBuilder builder) {
        builder.add(new Effect.Log(Decision.on(
                "attempt",
                call.parameters().request(),
                "sent again",
                Input.of("result", result),
                Input.of("attempts", call.attempts()))));
    }

    private static CallInstruction failure(final CallResult.Broken broken) {
        return new CallInstruction.Fail(
                broken.silent() ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.UPSTREAM_FAILED,
                broken.silent() ? "the upstream fell silent" : "the upstream's answer broke off");
    }

    private static Outcome<CallSection> instruct(
            final Blackboard board,
            final Call call,
            final CallInstruction instruction,
            final OutcomeBuilder builder,
            final CallResult result,
            final Optional<String> retryObstacle) {
        builder.add(new Effect.Log(Decision.on(
                "answer",
                call.parameters().request(),
                outcomeText(instruction),
                Input.of("result", result),
                Input.of("no_retry", retryObstacle.orElse("none")),
                Input.of("attempts", call.attempts()),
                Input.of("tried", call.tried()))));
        builder.add(new Effect.InstructCall(call.parameters().request(), instruction));
        CallCharge.end(call, builder);
        return builder.outcome(CallController.without(board.serving().calls(), call));
    }

    private static String outcomeText(final CallInstruction instruction) {
        return switch (instruction) {
            case CallInstruction.Reserve reserve -> "reserving";
            case CallInstruction.Send send -> "sent";
            case CallInstruction.ForwardFailure() -> "failure passed on";
            case CallInstruction.Refuse(Refusal refusal) -> "refused " + refusal.code();
            case CallInstruction.Fail(ErrorCode code, String message) -> "failed " + code;
        };
    }

    private static Outcome<CallSection> complete(
            final Blackboard board,
            final Call call,
            final String outcome,
            final OutcomeBuilder builder,
            final Instant now) {
        builder.add(new Effect.Log(Decision.on(
                "answer",
                call.parameters().request(),
                outcome,
                Input.of("attempts", call.attempts()),
                Input.of(
                        "took_ms",
                        Duration.between(call.parameters().receivedAt(), now).toMillis()))));
        CallCharge.end(call, builder);
        return builder.outcome(CallController.without(board.serving().calls(), call));
    }
}
