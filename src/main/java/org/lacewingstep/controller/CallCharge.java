package org.lacewingstep.controller;

import java.time.Instant;

import org.lacewingstep.blackboard.AllowanceChange;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.CallSection.CallPhase;
import org.lacewingstep.blackboard.Event;

/**
 * Charges a call to the limits: its units to its team when it is admitted, and a retry to the budget of its service
 * when it is decided. Gives back what is not used.
 *
 * <p>Whether a call holds a reserved retry follows from its phase and its attempts, so nothing can be given back twice.
 */
final class CallCharge {
    private CallCharge() {}

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
     * Charges the units of a call to its team. They are charged before the call is sent, as the calls that wait are
     * sent later, without another question of the limit.
     *
     * @param call the call, which was admitted, not null
     * @param builder collects the event, not null
     */
    static void admit(final Call call, final OutcomeBuilder builder) {
        call.team()
                .ifPresent(
                        team -> builder.add(new Event.AllowanceChanged(new AllowanceChange.Spent(team, call.units()))));
    }

    /**
     * Counts the first send of a call, whose units will not come back to a full bucket any more.
     *
     * @param call the call before it is sent, not null
     * @param builder collects the events, not null
     */
    static void sendFirst(final Call call, final OutcomeBuilder builder) {
        builder.add(new Event.AllowanceChanged(new AllowanceChange.FirstSend(call.service())));
        release(call, builder);
    }

    private static void release(final Call call, final OutcomeBuilder builder) {
        call.team()
                .ifPresent(team ->
                        builder.add(new Event.AllowanceChanged(new AllowanceChange.Released(team, call.units()))));
    }

    /**
     * Gives back what a call holds that has ended: a retry that was not sent, and the units if no upstream has it.
     *
     * @param call the call before its end, not null
     * @param builder collects the events, not null
     */
    static void end(final Call call, final OutcomeBuilder builder) {
        if (isHeld(call)) {
            builder.add(new Event.AllowanceChanged(new AllowanceChange.RetryReturned(call.service())));
        }
        final boolean waiting =
                switch (call.phase()) {
                    case CallPhase.Queued queued -> true;
                    case CallPhase.Reserving reserving -> true;
                    case CallPhase.Replacing replacing -> false;
                    case CallPhase.Sent sent -> false;
                };
        if (waiting) {
            returnUnits(call, builder);
        }
    }

    /**
     * Gives the units of a call back to its team if no upstream may have run the call.
     *
     * @param call the call, which ends, not null
     * @param builder collects the event, not null
     */
    static void returnUnits(final Call call, final OutcomeBuilder builder) {
        if (call.tried().isEmpty()) {
            release(call, builder);
        }
        if (!call.mayHaveRun()) {
            call.team()
                    .ifPresent(team ->
                            builder.add(new Event.AllowanceChanged(new AllowanceChange.Returned(team, call.units()))));
        }
    }

    /**
     * Changes the reservation of a retry when a call changes its phase without being sent.
     *
     * @param before the call before the change, not null
     * @param after the call after the change, not null
     * @param builder collects the event, not null
     */
    static void move(final Call before, final Call after, final OutcomeBuilder builder) {
        final boolean held = isHeld(before);
        final boolean needed = isHeld(after);
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
