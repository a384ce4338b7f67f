package org.lacewingstep.controller;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.AttemptResult;
import org.lacewingstep.blackboard.AttemptResult.AttemptStep;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Instruction;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.blackboard.RequestSection;
import org.lacewingstep.blackboard.RequestSection.Phase;
import org.lacewingstep.blackboard.RequestSection.Progress;
import org.lacewingstep.blackboard.RequestSection.RequestState;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.Service;
import org.lacewingstep.error.ErrorCode;

/** Handles the end of an attempt: completes the request, resumes its stream, starts another attempt or fails it. */
final class AttemptCompletion {
    /** How often a stream is resumed at the same upstream before another upstream continues the stream. */
    private static final int RESUME_LIMIT = 1;

    private AttemptCompletion() {}

    /**
     * Applies the result of an attempt. The result of an attempt other than the current one is ignored.
     *
     * @param board the blackboard, not null
     * @param attempt the identifier of the attempt, not null
     * @param result the result of the attempt, not null
     * @param builder collects the effects and follow-up events, not null
     * @param now the present time, not null
     * @return the updated requests, never null
     */
    static RequestSection apply(
            final Blackboard board,
            final AttemptIdentifier attempt,
            final AttemptResult result,
            final OutcomeBuilder builder,
            final Instant now) {
        final RequestState state = board.requests().requests().get(attempt.request());
        if (state == null
                || !(state.phase() instanceof Phase.Running(Reservation held))
                || !held.attempt().equals(attempt)) {
            return board.requests();
        }
        return switch (result) {
            case AttemptResult.Completed(long outputTokens) -> complete(board, state, held, outputTokens, builder);
            case AttemptResult.Failed failed -> fail(board, state, held, failed, builder, now);
        };
    }

    private static RequestSection complete(
            final Blackboard board,
            final RequestState state,
            final Reservation held,
            final long outputTokens,
            final OutcomeBuilder builder) {
        RequestCompletion.release(board, state, held.cell(), Optional.empty(), true, builder);
        RequestCompletion.refund(state, outputTokens, true, builder);
        builder.add(new Effect.Instruct(state.parameters().request(), new Instruction.Complete()));
        return board.requests().without(state.parameters().request());
    }

    private static RequestSection fail(
            final Blackboard board,
            final RequestState state,
            final Reservation held,
            final AttemptResult.Failed failed,
            final OutcomeBuilder builder,
            final Instant now) {
        final RequestState received = state.withProgress(failed.outputTokens(), failed.sent());
        if (mayResume(received, failed)) {
            builder.add(new Effect.Instruct(state.parameters().request(), new Instruction.Resume(held)));
            return board.requests().with(received.withResume());
        }
        RequestCompletion.cancel(board, held, builder);
        RequestCompletion.release(board, state, held.cell(), Optional.of(failed.upstream()), false, builder);
        if (!mayRepeat(board, received, failed) || board.requests().retryCredits() < 1) {
            return refuse(board, received, failed, builder);
        }
        final RequestSection charged =
                new RequestSection(board.requests().requests(), board.requests().retryCredits() - 1);
        return Placement.begin(board, charged, received.withAvoided(failed.upstream()), builder, now);
    }

    private static boolean mayResume(final RequestState state, final AttemptResult.Failed failed) {
        final Progress progress = state.progress();
        return failed.step() == AttemptStep.DECODE
                && !failed.overloaded()
                && progress.outputTokens() > 0
                && progress.resumes() < RESUME_LIMIT;
    }

    private static boolean mayRepeat(
            final Blackboard board, final RequestState state, final AttemptResult.Failed failed) {
        if (!failed.sent()) {
            return true;
        }
        final Service service = board.configuration().inForce().services().get(state.service());
        return service != null && service.kind().isRepeatable();
    }

    private static RequestSection refuse(
            final Blackboard board,
            final RequestState state,
            final AttemptResult.Failed failed,
            final OutcomeBuilder builder) {
        final String message = failed.step() + " failed at upstream " + failed.upstream();
        return RequestCompletion.refuse(
                board.requests(),
                state,
                new Refusal(
                        ErrorCode.UPSTREAM_FAILED,
                        message,
                        RequestCompletion.noCapacity().retryAfter()),
                builder);
    }
}
