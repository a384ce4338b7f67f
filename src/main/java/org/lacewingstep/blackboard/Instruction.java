package org.lacewingstep.blackboard;

import org.lacewingstep.domain.Reservation;
import org.lacewingstep.error.ErrorCode;

/** An instruction to the traffic threads about the next action for a request. */
public sealed interface Instruction {
    /**
     * Runs an attempt with the reserved capacity; a generation continues after the output that the caller has received.
     *
     * @param reservation the reserved capacity, not null
     */
    record Run(Reservation reservation) implements Instruction {}

    /**
     * Resumes the stream of a running attempt over a new connection.
     *
     * @param reservation the reserved capacity, not null
     */
    record Resume(Reservation reservation) implements Instruction {}

    /**
     * Sends a refusal to the caller; the request was not run.
     *
     * @param refusal the refusal to send, not null
     */
    record Refuse(Refusal refusal) implements Instruction {}

    /**
     * Sends an error to the caller; the request failed and may have run.
     *
     * @param code the error code, not null
     * @param message the message to the caller, not null
     */
    record Fail(ErrorCode code, String message) implements Instruction {}

    /** Ends the request; no further instruction follows. */
    record Complete() implements Instruction {}
}
