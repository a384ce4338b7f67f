package org.lacewingstep.controller;

import java.time.Duration;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event.ClaimOutcome;
import org.lacewingstep.blackboard.Instruction;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.blackboard.RequestSection;
import org.lacewingstep.blackboard.RequestSection.Phase;
import org.lacewingstep.blackboard.RequestSection.RequestState;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.Service;
import org.lacewingstep.error.ErrorCode;

/**
 * Lets requests run. A call that may not be repeated and carries an idempotency key is claimed in the store before it
 * is sent, so that a repetition of it is not sent again, at whichever instance it arrives.
 */
final class Claims {
    private Claims() {}

    /**
     * Lets a request run in its room, or claims its key first.
     *
     * @param board the blackboard, not null
     * @param state the request, not null
     * @param room the room, not null
     * @param draft collects what follows, not null
     * @return the requests afterwards, never null
     */
    static RequestSection dispatch(
            final Blackboard board, final RequestState state, final Reservation room, final Draft draft) {
        if (!needsClaim(board, state)) {
            draft.add(new Effect.Instruct(state.demand().request(), new Instruction.Run(room)));
            return board.requests().with(state.in(new Phase.Running(room)));
        }
        draft.add(new Effect.ClaimKey(
                state.demand().request(),
                state.team().orElseThrow(),
                state.demand().idempotencyKey().orElseThrow()));
        return board.requests().with(state.in(new Phase.Claiming(room)));
    }

    private static boolean needsClaim(final Blackboard board, final RequestState state) {
        final Service service = board.configuration().inForce().services().get(state.service());
        final boolean repeatable = service == null || service.kind().isRepeatable();
        return !repeatable
                && !state.claimed()
                && state.team().isPresent()
                && state.demand().idempotencyKey().isPresent();
    }

    /**
     * Acts on the store's answer.
     *
     * @param board the blackboard, not null
     * @param request the request, not null
     * @param outcome the answer, not null
     * @param draft collects what follows, not null
     * @return the requests afterwards, never null
     */
    static RequestSection answered(
            final Blackboard board, final RequestIdentifier request, final ClaimOutcome outcome, final Draft draft) {
        final RequestState state = board.requests().requests().get(request);
        if (state == null || !(state.phase() instanceof Phase.Claiming(Reservation room))) {
            return board.requests();
        }
        return switch (outcome) {
            case GRANTED -> dispatch(board, state.withClaim(), room, draft);
            case HELD_BY_ANOTHER -> {
                RequestEnding.letGo(board, state, draft);
                yield RequestEnding.fail(
                        board.requests(),
                        state,
                        ErrorCode.DUPLICATE_CALL,
                        "a call with this idempotency key was accepted before",
                        draft);
            }
            case UNKNOWN -> {
                RequestEnding.letGo(board, state, draft);
                yield RequestEnding.refuse(board.requests(), state.withClaim(), storeSilent(), draft);
            }
        };
    }

    private static Refusal storeSilent() {
        return new Refusal(
                ErrorCode.STORE_UNREACHABLE,
                "the store cannot tell whether a call with this idempotency key was made",
                Duration.ofSeconds(1));
    }

    /**
     * Gives the claim of a request back that was not run.
     *
     * @param state the request, not null
     * @param draft collects what follows, not null
     */
    static void giveBack(final RequestState state, final Draft draft) {
        if (state.claimed()) {
            draft.add(new Effect.ReleaseClaim(
                    state.demand().request(),
                    state.team().orElseThrow(),
                    state.demand().idempotencyKey().orElseThrow()));
        }
    }
}
