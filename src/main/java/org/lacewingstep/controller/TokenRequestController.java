package org.lacewingstep.controller;

import java.time.Instant;
import java.util.List;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PeerMessage.TokenVerdict;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.blackboard.TokenDebits;
import org.lacewingstep.blackboard.TokenRequestSection;
import org.lacewingstep.blackboard.TokenRequestSection.TokenQuery;
import org.lacewingstep.blackboard.TokenRequestSection.TokenSearch;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.error.ErrorCode;
import org.pcollections.HashTreePSet;

/** Requests the tokens of each request from the shard owners of its team's budget and refunds unused tokens. */
public final class TokenRequestController implements Controller<TokenRequestSection> {
    @Override
    public Class<TokenRequestSection> section() {
        return TokenRequestSection.class;
    }

    @Override
    public Outcome<TokenRequestSection> step(final Blackboard board, final Event event, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        final TokenRequestSection section = board.tokenRequests();
        return switch (event) {
            case Event.TokensNeeded(RequestIdentifier request, TeamName team, long tokens) ->
                builder.outcome(begin(board, request, team, tokens, builder, now));
            case Event.TokensWithdrawn(RequestIdentifier request) -> builder.outcome(withdraw(board, request, builder));
            case Event.TokensUnspent(TeamName team, TokenDebits debits, long unspent) -> {
                TokenRefunds.send(board, team, debits, unspent, builder);
                yield builder.outcome(section);
            }
            case Event.TimerFired(TimerKey.TokenResponseTimeout(RequestIdentifier request, long number)) ->
                builder.outcome(timeOut(board, number, builder, now));
            case Event.PeerMessageReceived(Incarnation sender, PeerMessage.TokenResponse response) ->
                builder.outcome(receiveResponse(board, sender, response, builder, now));
            default -> Outcome.of(section);
        };
    }

    private static TokenRequestSection begin(
            final Blackboard board,
            final RequestIdentifier request,
            final TeamName team,
            final long tokens,
            final OutcomeBuilder builder,
            final Instant now) {
        final TokenSearch search = new TokenSearch(
                request,
                team,
                tokens,
                new TokenDebits(now, List.of()),
                HashTreePSet.empty(),
                HashTreePSet.empty(),
                false,
                TokenQueryPlanner.ownersUnreachable());
        return TokenQueryPlanner.queryNext(board, board.tokenRequests(), search, builder, now);
    }

    private static TokenRequestSection receiveResponse(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.TokenResponse response,
            final OutcomeBuilder builder,
            final Instant now) {
        final TokenRequestSection section = board.tokenRequests();
        final TokenQuery query = section.queries().get(response.query());
        if (query == null || !query.shardOwner().equals(sender)) {
            return refundLateGrant(board, sender, response, builder);
        }
        final TokenSearch search = section.searches().get(query.request());
        final TokenSearch updated = applyResponse(search, query, response);
        return continueSearch(board, section.removeAnswered(query.number()), updated, builder, now);
    }

    private static TokenSearch applyResponse(
            final TokenSearch search, final TokenQuery query, final PeerMessage.TokenResponse response) {
        TokenSearch next = search;
        if (response.verdict() == TokenVerdict.GRANTED) {
            next = next.withGrant(
                    new TokenDebits.Part(query.shardOwner(), query.slot(), response.debit(), response.tokens()));
        }
        if (response.tokens() >= query.tokens()) {
            return next;
        }
        final boolean rateExceeded = response.verdict() != TokenVerdict.NOT_OWNER;
        final Refusal refusal = rateExceeded
                ? new Refusal(ErrorCode.RATE_EXCEEDED, "the team's token rate is used up", response.retryAfter())
                : search.refusal();
        return next.withExhausted(query.slot(), refusal);
    }

    /** Sends further queries or ends the search once no query of the request is open. */
    private static TokenRequestSection continueSearch(
            final Blackboard board,
            final TokenRequestSection section,
            final TokenSearch search,
            final OutcomeBuilder builder,
            final Instant now) {
        if (section.openQueries(search.request()) > 0) {
            return section.with(search);
        }
        if (search.missing() > 0) {
            return TokenQueryPlanner.queryNext(board, section, search, builder, now);
        }
        if (!search.debits().isFresh(board.identity().policy().grantLife(), now)) {
            return TokenQueryPlanner.refuse(board, section, search, builder);
        }
        builder.add(new Event.TokensGranted(search.request(), search.debits()));
        return section.without(search.request());
    }

    /** Refunds tokens that were granted in response to a query abandoned before. */
    private static TokenRequestSection refundLateGrant(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.TokenResponse response,
            final OutcomeBuilder builder) {
        final TokenRequestSection section = board.tokenRequests();
        final TokenQuery abandoned = section.abandoned().get(response.query());
        if (abandoned == null || !abandoned.shardOwner().equals(sender)) {
            return section;
        }
        if (response.verdict() == TokenVerdict.GRANTED) {
            final TokenDebits.Part part =
                    new TokenDebits.Part(sender, abandoned.slot(), response.debit(), response.tokens());
            TokenRefunds.send(board, abandoned.team(), TokenDebits.NONE.with(part), response.tokens(), builder);
        }
        return section.removeAnswered(response.query());
    }

    private static TokenRequestSection timeOut(
            final Blackboard board, final long number, final OutcomeBuilder builder, final Instant now) {
        final TokenRequestSection section = board.tokenRequests();
        final TokenQuery query = section.queries().get(number);
        if (query == null) {
            return section;
        }
        final TokenSearch search = section.searches().get(query.request());
        final TokenSearch next = search.withExhausted(query.slot(), search.refusal());
        return continueSearch(board, section.abandonQuery(query), next, builder, now);
    }

    private static TokenRequestSection withdraw(
            final Blackboard board, final RequestIdentifier request, final OutcomeBuilder builder) {
        TokenRequestSection section = board.tokenRequests();
        final TokenSearch search = section.searches().get(request);
        if (search == null) {
            return section;
        }
        for (final TokenQuery query : section.queries().values()) {
            section = query.request().equals(request) ? section.abandonQuery(query) : section;
        }
        TokenRefunds.send(board, search.team(), search.debits(), search.debits().tokens(), builder);
        return section.without(request);
    }
}
