package org.lacewingstep.controller;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.AllowanceChange;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.CallSection.CallPhase;
import org.lacewingstep.blackboard.Event;

/**
 * Reserves a retry of the budget when it is decided that a call is sent again, and gives it back if it is not sent.
 *
 * <p>Whether a call holds a reserved retry follows from its phase and its attempts, so nothing can be given back twice.
 */
final class RetryCharge {
    private RetryCharge() {}

    /**
     * Returns whether a call holds a retry that was decided and not sent yet.
     *
     * @param call the call, not null
     * @return true if the call holds a reserved retry
     */
    static boolean isHeld(final Call call) {
        return switch (call.phase()) {
            case CallPhase.Queued queued -> call.attempts() > 0;
            case CallPhase.Reserving reserving -> call.attempts() > 0;
            case CallPhase.Replacing replacing -> true;
            case CallPhase.Sent sent -> false;
        };
    }

    /**
     * Changes the reservation when a call changes its phase without being sent.
     *
     * @param before the call before the change, not null
     * @param after the call after the change, empty if it has ended
     * @param builder collects the event, not null
     */
    static void move(final Call before, final Optional<Call> after, final OutcomeBuilder builder) {
        final boolean held = isHeld(before);
        final boolean needed = after.map(RetryCharge::isHeld).orElse(false);
        if (held && !needed) {
            builder.add(new Event.AllowanceChanged(new AllowanceChange.RetryReturned(before.service())));
        } else if (!held && needed) {
            builder.add(new Event.AllowanceChanged(new AllowanceChange.RetryReserved(before.service())));
        }
    }

    /**
     * Takes an attempt back that has not reached its upstream: it counts as no send, and its retry is held again.
     *
     * @param call the call, in phase {@code Sent} or {@code Replacing}, not null
     * @param now the present time, not null
     * @param builder collects the events, not null
     * @return the call without the attempt, queued, never null
     */
    static Call withoutLastAttempt(final Call call, final Instant now, final OutcomeBuilder builder) {
        final int attempts = call.attempts() - 1;
        if (attempts > 0) {
            builder.add(new Event.AllowanceChanged(new AllowanceChange.RetryUnsent(call.service())));
        }
        if (isHeld(call)) {
            builder.add(new Event.AllowanceChanged(new AllowanceChange.RetryReturned(call.service())));
        }
        return call.with(attempts, call.tried(), call.promptReadyAt(), call.mayHaveRun(), new CallPhase.Queued(now));
    }
}
