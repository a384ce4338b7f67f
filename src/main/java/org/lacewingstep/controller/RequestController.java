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
        final OutcomeBuilder draft = new OutcomeBuilder();
        final RequestSection section = board.requests();
        return switch (event) {
            case Event.RequestReceived(RequestParameters demand) -> draft.outcome(receive(board, demand, draft, now));
            case Event.TokensGranted(RequestIdentifier request, TokenDebits debits) ->
                draft.outcome(applyDebits(board, request, debits, draft, now));
            case Event.ClaimCompleted(RequestIdentifier request, Event.ClaimOutcome outcome) ->
                draft.outcome(IdempotencyClaims.applyOutcome(board, request, outcome, draft));
            case Event.TokensRefused(RequestIdentifier request, Refusal refusal) ->
                draft.outcome(refuse(board, request, refusal, draft));
            case Event.AttemptEnded(AttemptIdentifier attempt, AttemptResult result) ->
                draft.outcome(AttemptCompletion.apply(board, attempt, result, draft, now));
            case Event.CallerDisconnected(RequestIdentifier request, long outputTokens) ->
                draft.outcome(RequestCompletion.abandon(board, request, outputTokens, draft));
            case Event.TimerFired(TimerKey.RequestDeadline(RequestIdentifier request)) ->
                draft.outcome(RequestCompletion.expire(board, request, draft));
            case Event.TimerFired(TimerKey.PlacementCheck(AttemptIdentifier attempt)) ->
                draft.outcome(Placement.checkPlacement(board, attempt, draft, now));
            case Event.RosterAdopted(Roster previous) ->
                draft.outcome(Placement.repeatRequests(board, previous, draft, now));
            case Event.PeerMessageReceived(Incarnation sender, PeerMessage.PlacementResponse response) ->
                draft.outcome(Placement.receiveResponse(board, sender, response, draft, now));
            case Event.PeerMessageReceived(Incarnation sender, PeerMessage.ReservationAudit audit) ->
                draft.outcome(replyToAudit(board, sender, audit, draft));
            default -> Outcome.of(section);
        };
    }

    private static RequestSection receive(
            final Blackboard board, final RequestParameters demand, final OutcomeBuilder draft, final Instant now) {
        final RequestSection credited = new RequestSection(
                board.requests().requests(),
                Math.min(RequestSection.RETRY_CREDIT_LIMIT, board.requests().retryCredit() + RETRY_CREDIT_PER_REQUEST));
        if (credited.requests().containsKey(demand.request())) {
            return credited;
        }
        return switch (Admission.check(board, demand, now)) {
            case Admission.Verdict.Refused(Refusal refusal) -> {
                draft.add(new Effect.Instruct(demand.request(), new Instruction.Refuse(refusal)));
                yield credited;
            }
            case Admission.Verdict.Accepted accepted -> accept(board, credited, demand, accepted, draft, now);
        };
    }

    private static RequestSection accept(
            final Blackboard board,
            final RequestSection section,
            final RequestParameters demand,
            final Admission.Verdict.Accepted accepted,
            final OutcomeBuilder draft,
            final Instant now) {
        final RequestState state = RequestState.begin(demand, accepted.service().name(), accepted.payer());
        draft.add(new Effect.StartTimer(new TimerKey.RequestDeadline(demand.request()), demand.deadline()));
        if (accepted.payer().isPresent() && accepted.tokens() > 0) {
            draft.add(new Event.TokensNeeded(demand.request(), accepted.payer().get(), accepted.tokens()));
            return section.with(state);
        }
        return Placement.begin(board, section, state, draft, now);
    }

    private static RequestSection applyDebits(
            final Blackboard board,
            final RequestIdentifier request,
            final TokenDebits granted,
            final OutcomeBuilder draft,
            final Instant now) {
        final RequestState state = board.requests().requests().get(request);
        if (state == null) {
            return board.requests();
        }
        final RequestState debited = state.with(granted);
        return switch (state.phase()) {
            case Phase.AwaitingTokens() -> Placement.begin(board, board.requests(), debited, draft, now);
            case Phase.RenewingTokens(Reservation reservation) ->
                IdempotencyClaims.dispatch(board, debited, reservation, draft);
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
            final OutcomeBuilder draft) {
        final RequestState state = board.requests().requests().get(request);
        if (state == null) {
            return board.requests();
        }
        RequestCompletion.releaseHeld(board, state, draft);
        return RequestCompletion.refuse(board.requests(), state, refusal, draft);
    }

    private static RequestSection replyToAudit(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.ReservationAudit audit,
            final OutcomeBuilder draft) {
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
                .ifPresent(draft::add);
        return board.requests();
    }
}
