package org.lacewingstep.controller;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.lacewingstep.blackboard.AttemptResult;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Instruction;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.blackboard.RequestParameters;
import org.lacewingstep.blackboard.RequestSection;
import org.lacewingstep.blackboard.RequestSection.Phase;
import org.lacewingstep.blackboard.RequestSection.RequestState;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.blackboard.TokenDebits;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.ClaimOutcome;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.Roster;

/** Processes each request from its arrival to its single response. */
public final class RequestController implements Controller<RequestSection> {
    /** Retry credit added for each received request; one retry costs a credit of 1. */
    private static final double RETRY_CREDIT_PER_REQUEST = 0.1;

    @Override
    public Class<RequestSection> section() {
        return RequestSection.class;
    }

    @Override
    public Outcome<RequestSection> step(final Blackboard board, final Event event, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        final RequestSection section = board.requests();
        return switch (event) {
            case Event.RequestReceived(RequestParameters parameters) ->
                builder.outcome(receive(board, parameters, builder, now));
            case Event.TokensGranted(RequestIdentifier request, TokenDebits debits) ->
                builder.outcome(applyDebits(board, request, debits, builder, now));
            case Event.ClaimCompleted(RequestIdentifier request, ClaimOutcome outcome) ->
                builder.outcome(IdempotencyClaims.applyOutcome(board, request, outcome, builder));
            case Event.TokensRefused(RequestIdentifier request, Refusal refusal) ->
                builder.outcome(refuse(board, request, refusal, builder));
            case Event.AttemptEnded(AttemptIdentifier attempt, AttemptResult result) ->
                builder.outcome(AttemptCompletion.apply(board, attempt, result, builder, now));
            case Event.CallerDisconnected(RequestIdentifier request, long outputTokens) ->
                builder.outcome(RequestCompletion.abandon(board, request, outputTokens, builder));
            case Event.TimerFired(TimerKey.RequestDeadline(RequestIdentifier request)) ->
                builder.outcome(RequestCompletion.expire(board, request, builder));
            case Event.TimerFired(TimerKey.PlacementCheck(AttemptIdentifier attempt)) ->
                builder.outcome(Placement.checkPlacement(board, attempt, builder, now));
            case Event.RosterAdopted(Roster previous) ->
                builder.outcome(Placement.repeatRequests(board, previous, builder, now));
            case Event.PeerMessageReceived(Incarnation sender, PeerMessage.PlacementResponse response) ->
                builder.outcome(Placement.receiveResponse(board, sender, response, builder, now));
            case Event.PeerMessageReceived(Incarnation sender, PeerMessage.ReservationAudit audit) ->
                builder.outcome(respondToAudit(board, sender, audit, builder));
            default -> Outcome.of(section);
        };
    }

    private static RequestSection receive(
            final Blackboard board,
            final RequestParameters parameters,
            final OutcomeBuilder builder,
            final Instant now) {
        final RequestSection credited = new RequestSection(
                board.requests().requests(),
                Math.min(
                        RequestSection.RETRY_CREDIT_LIMIT, board.requests().retryCredits() + RETRY_CREDIT_PER_REQUEST));
        if (credited.requests().containsKey(parameters.request())) {
            return credited;
        }
        return switch (Admission.check(board, parameters, now)) {
            case Admission.AdmissionDecision.Refused(Refusal refusal) -> {
                builder.add(new Effect.Instruct(parameters.request(), new Instruction.Refuse(refusal)));
                yield credited;
            }
            case Admission.AdmissionDecision.Admitted admitted ->
                admit(board, credited, parameters, admitted, builder, now);
        };
    }

    private static RequestSection admit(
            final Blackboard board,
            final RequestSection section,
            final RequestParameters parameters,
            final Admission.AdmissionDecision.Admitted admitted,
            final OutcomeBuilder builder,
            final Instant now) {
        final RequestState state =
                RequestState.begin(parameters, admitted.service().name(), admitted.payer());
        builder.add(new Effect.StartTimer(new TimerKey.RequestDeadline(parameters.request()), parameters.deadline()));
        if (admitted.payer().isPresent() && admitted.tokens() > 0) {
            builder.add(new Event.TokensNeeded(
                    parameters.request(), admitted.payer().get(), admitted.tokens()));
            return section.with(state);
        }
        return Placement.begin(board, section, state, builder, now);
    }

    private static RequestSection applyDebits(
            final Blackboard board,
            final RequestIdentifier request,
            final TokenDebits granted,
            final OutcomeBuilder builder,
            final Instant now) {
        final RequestState state = board.requests().requests().get(request);
        if (state == null) {
            return board.requests();
        }
        final RequestState debited = state.with(granted);
        return switch (state.phase()) {
            case Phase.AwaitingTokens() -> Placement.begin(board, board.requests(), debited, builder, now);
            case Phase.RenewingTokens(Reservation reservation) ->
                IdempotencyClaims.dispatch(board, debited, reservation, builder);
            case Phase.Claiming claiming -> board.requests();
            case Phase.AwaitingHome() -> board.requests();
            case Phase.AwaitingPlacement waiting -> board.requests();
            case Phase.Running running -> board.requests();
        };
    }

    private static RequestSection refuse(
            final Blackboard board,
            final RequestIdentifier request,
            final Refusal refusal,
            final OutcomeBuilder builder) {
        final RequestState state = board.requests().requests().get(request);
        if (state == null) {
            return board.requests();
        }
        RequestCompletion.releaseResources(board, state, builder);
        return RequestCompletion.refuse(board.requests(), state, refusal, builder);
    }

    private static RequestSection respondToAudit(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.ReservationAudit audit,
            final OutcomeBuilder builder) {
        final List<AttemptIdentifier> alive = new ArrayList<>();
        final List<AttemptIdentifier> ended = new ArrayList<>();
        for (final AttemptIdentifier attempt : audit.attempts()) {
            final Optional<Reservation> held = HeldReservations.find(board.requests(), attempt);
            if (held.isPresent()) {
                alive.add(attempt);
            } else {
                ended.add(attempt);
            }
        }
        PeerMessages.to(board, sender, new PeerMessage.ReservationStatus(alive, ended))
                .ifPresent(builder::add);
        return board.requests();
    }
}
