package org.lacewingstep.blackboard;

import org.lacewingstep.domain.Reservation;
import org.lacewingstep.error.ErrorCode;

/** What the traffic side has to do next for a request. */
public sealed interface Instruction {
    /**
     * Run an attempt in the reserved room; a generation goes on after what the caller has received.
     *
     * @param reservation the room, not null
     */
    record Run(Reservation reservation) implements Instruction {}

    /**
     * Resume the stream of a running attempt over a new connection.
     *
     * @param reservation the room, not null
     */
    record Resume(Reservation reservation) implements Instruction {}

    /**
     * Tell the caller that the request was not run.
     *
     * @param refusal the reason, not null
     */
    record Refuse(Refusal refusal) implements Instruction {}

    /**
     * Tell the caller that the request failed and may have run.
     *
     * @param code the code, not null
     * @param message what a caller may read, not null
     */
    record Fail(ErrorCode code, String message) implements Instruction {}

    /** Nothing is left to do. */
    record Conclude() implements Instruction {}
}
