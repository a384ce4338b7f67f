package org.lacewingstep.controller;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.CallSection;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.CallSection.CallPhase;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.RegisteredUpstream;

/** Replaces an attempt at a silent upstream by another attempt once that one can be sent. */
final class AttemptReplacement {
    private AttemptReplacement() {}

    /**
     * Starts to replace an attempt whose response makes no progress. The attempt continues until the call can be sent
     * elsewhere, since the silent upstream may be sound.
     *
     * @param board the blackboard, not null
     * @param call the call, in phase {@code Sent} or {@code Replacing}, not null
     * @param now the present time, not null
     * @return the updated section with the resulting effects and events, never null
     */
    static Outcome<CallSection> start(final Blackboard board, final Call call, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        if (!(call.phase() instanceof CallPhase.Sent stalled)
                || CallPlacement.isTooLateToSend(call, now)
                || CallCompletion.retryObstacle(board, call, true, now).isPresent()) {
            return builder.outcome(board.serving().calls());
        }
        final FailureDomainName ownDomain = board.serving().site().bounds().failureDomain();
        final Optional<RegisteredUpstream> chosen =
                UpstreamChoice.choose(board, call, CallPlacement.RESPONDING_ROLES, ownDomain, now);
        if (chosen.isEmpty()) {
            return builder.outcome(board.serving().calls());
        }
        final RegisteredUpstream replacement = chosen.get();
        builder.add(new Event.UpstreamOccupied(replacement, call.tokens()));
        final Call replacing = call.withPhase(new CallPhase.Replacing(stalled, replacement.name()));
        CallCharge.move(call, replacing, builder);
        if (!ReservationRequest.isNeeded(board, call, replacement)) {
            return send(board, call, stalled, replacement, builder, now);
        }
        builder.add(ReservationRequest.create(board, call, replacement));
        return builder.outcome(CallController.with(board.serving().calls(), replacing));
    }

    /**
     * Ends a stalled attempt and sends the call to another upstream; a stream continues there.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param stalled the attempt that is ended, not null
     * @param replacement the upstream, not null
     * @param builder collects the effects and events, not null
     * @param now the present time, not null
     * @return the updated section with the resulting effects and events, never null
     */
    static Outcome<CallSection> send(
            final Blackboard board,
            final Call call,
            final CallPhase.Sent stalled,
            final RegisteredUpstream replacement,
            final OutcomeBuilder builder,
            final Instant now) {
        final CallResult result = new CallResult.Broken(true, false);
        CallCompletion.releaseAttempt(call, stalled, Optional.of(result), builder);
        CallCompletion.logRetry(call, result, builder);
        final Call replaced = call.with(call.attempts(), call.tried(), Optional.empty(), true, stalled);
        return CallPlacement.send(board, replaced, replacement, builder, now);
    }
}
