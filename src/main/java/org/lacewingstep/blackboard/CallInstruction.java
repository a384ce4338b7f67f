package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.Urgency;
import org.lacewingstep.error.ErrorCode;

/** An instruction to the traffic threads about the next action for a call. */
public sealed interface CallInstruction {
    /**
     * Requests an upstream to reserve memory for a call before another upstream processes the prompt.
     *
     * @param upstream the upstream, not null
     * @param tokens the memory to reserve, in tokens
     * @param lifetime how long the reservation is kept, not null
     * @param connectionLimit maximum number of connections of this instance to one upstream
     */
    record Reserve(RegisteredUpstream upstream, long tokens, Duration lifetime, int connectionLimit)
            implements CallInstruction {}

    /**
     * Sends the call to an upstream.
     *
     * @param attempt the number of the attempt, from one
     * @param upstream the upstream that generates the response, not null
     * @param prefill the upstream that processes the prompt first, empty if the responding upstream does
     * @param usesKeptPrompt whether the prompt was processed for an earlier attempt and the result is still kept
     * @param team the caller's team, empty on an open route
     * @param deadline latest time for the complete response, not null
     * @param responseTimeout time without progress before the response begins after which the call may be sent
     *     elsewhere, not null
     * @param pauseTimeout time without progress of a begun response after which the call may be sent elsewhere, not
     *     null
     * @param streams whether the response is a stream of events
     * @param connectionLimit maximum number of connections of this instance to one upstream
     * @param urgency the urgency by which the upstream orders its work, empty if calls of the service do not differ
     */
    record Send(
            int attempt,
            RegisteredUpstream upstream,
            Optional<RegisteredUpstream> prefill,
            boolean usesKeptPrompt,
            Optional<TeamName> team,
            Instant deadline,
            Duration responseTimeout,
            Duration pauseTimeout,
            boolean streams,
            int connectionLimit,
            Optional<Urgency> urgency)
            implements CallInstruction {}

    /** Sends the upstream's failure response to the caller. */
    record ForwardFailure() implements CallInstruction {}

    /**
     * Sends a refusal to the caller; the call was not run.
     *
     * @param refusal the refusal to send, not null
     */
    record Refuse(Refusal refusal) implements CallInstruction {}

    /**
     * Sends an error to the caller; the call failed and may have run.
     *
     * @param code the error code, not null
     * @param message the message to the caller, not null
     */
    record Fail(ErrorCode code, String message) implements CallInstruction {}
}
