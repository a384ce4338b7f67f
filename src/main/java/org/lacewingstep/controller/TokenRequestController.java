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
import org.lacewingstep.blackboard.TokenRequestSection.Question;
import org.lacewingstep.blackboard.TokenRequestSection.Search;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.error.ErrorCode;
import org.pcollections.HashTreePSet;

/** Asks the homes of a team's budget for the tokens of a request, and gives back what is not used. */
public final class TokenRequestController implements Controller<TokenRequestSection> {
    @Override
    public Class<TokenRequestSection> section() {
        return TokenRequestSection.class;
    }

    @Override
    public Outcome<TokenRequestSection> step(final Blackboard board, final Event event, final Instant now) {
        final Draft draft = new Draft();
        final TokenRequestSection section = board.tokenRequests();
        return switch (event) {
            case Event.TokensNeeded(RequestIdentifier request, TeamName team, long tokens) ->
                draft.outcome(begin(board, request, team, tokens, draft, now));
            case Event.TokensWithdrawn(RequestIdentifier request) -> draft.outcome(withdraw(board, request, draft));
            case Event.TokensUnspent(TeamName team, TokenDebits debits, long unspent) -> {
                TokenRefunds.send(board, team, debits, unspent, draft);
                yield draft.outcome(section);
            }
            case Event.TimerFired(TimerKey.TokenAnswer(RequestIdentifier request, long number)) ->
                draft.outcome(timeOut(board, number, draft, now));
            case Event.PeerMessageReceived(Incarnation sender, PeerMessage.TokenAnswer answer) ->
                draft.outcome(answered(board, sender, answer, draft, now));
            default -> Outcome.of(section);
        };
    }

    private static TokenRequestSection begin(
            final Blackboard board,
            final RequestIdentifier request,
            final TeamName team,
            final long tokens,
            final Draft draft,
            final Instant now) {
        final Search search = new Search(
                request,
                team,
                tokens,
                new TokenDebits(now, List.of()),
                HashTreePSet.empty(),
                HashTreePSet.empty(),
                false,
                TokenSearch.unreachable());
        return TokenSearch.askNext(board, board.tokenRequests(), search, draft, now);
    }

    private static TokenRequestSection answered(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.TokenAnswer answer,
            final Draft draft,
            final Instant now) {
        final TokenRequestSection section = board.tokenRequests();
        final Question question = section.questions().get(answer.question());
        if (question == null || !question.home().equals(sender)) {
            return giveBack(board, sender, answer, draft);
        }
        final Search before = section.searches().get(question.request());
        final Search after = take(before, question, answer);
        return proceed(board, section.answered(question.number()), after, draft, now);
    }

    private static Search take(final Search search, final Question question, final PeerMessage.TokenAnswer answer) {
        Search next = search;
        if (answer.verdict() == TokenVerdict.GRANTED) {
            next = next.give(new TokenDebits.Part(question.home(), question.slot(), answer.debit(), answer.tokens()));
        }
        if (answer.tokens() >= question.tokens()) {
            return next;
        }
        final boolean rate = answer.verdict() != TokenVerdict.NOT_HOME;
        final Refusal refusal = rate
                ? new Refusal(ErrorCode.RATE_EXCEEDED, "the team's token rate is used up", answer.retryAfter())
                : search.refusal();
        return next.exhaust(question.slot(), refusal);
    }

    /** Goes on when the last open question of the request has ended. */
    private static TokenRequestSection proceed(
            final Blackboard board,
            final TokenRequestSection section,
            final Search search,
            final Draft draft,
            final Instant now) {
        if (section.openQuestions(search.request()) > 0) {
            return section.with(search);
        }
        if (search.missing() > 0) {
            return TokenSearch.askNext(board, section, search, draft, now);
        }
        if (!search.debits().isFresh(board.identity().policy().grantLife(), now)) {
            return TokenSearch.giveUp(board, section, search, draft);
        }
        draft.add(new Event.TokensGranted(search.request(), search.debits()));
        return section.without(search.request());
    }

    /** Tokens that arrive after the question was abandoned are not used. */
    private static TokenRequestSection giveBack(
            final Blackboard board, final Incarnation sender, final PeerMessage.TokenAnswer answer, final Draft draft) {
        final TokenRequestSection section = board.tokenRequests();
        final Question late = section.abandoned().get(answer.question());
        if (late == null || !late.home().equals(sender)) {
            return section;
        }
        if (answer.verdict() == TokenVerdict.GRANTED) {
            final TokenDebits.Part part = new TokenDebits.Part(sender, late.slot(), answer.debit(), answer.tokens());
            TokenRefunds.send(board, late.team(), TokenDebits.NONE.with(part), answer.tokens(), draft);
        }
        return section.answered(answer.question());
    }

    private static TokenRequestSection timeOut(
            final Blackboard board, final long number, final Draft draft, final Instant now) {
        final TokenRequestSection section = board.tokenRequests();
        final Question question = section.questions().get(number);
        if (question == null) {
            return section;
        }
        final Search search = section.searches().get(question.request());
        final Search next = search.exhaust(question.slot(), search.refusal());
        return proceed(board, section.abandon(question), next, draft, now);
    }

    private static TokenRequestSection withdraw(
            final Blackboard board, final RequestIdentifier request, final Draft draft) {
        TokenRequestSection section = board.tokenRequests();
        final Search search = section.searches().get(request);
        if (search == null) {
            return section;
        }
        for (final Question question : section.questions().values()) {
            section = question.request().equals(request) ? section.abandon(question) : section;
        }
        TokenRefunds.send(board, search.team(), search.debits(), search.debits().tokens(), draft);
        return section.without(request);
    }
}
