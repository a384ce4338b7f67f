package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PeerMessage.TokenVerdict;
import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.blackboard.TokenDebits;
import org.lacewingstep.blackboard.TokenRequestSection;
import org.lacewingstep.blackboard.TokenRequestSection.Pending;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Shard;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.TeamRange;
import org.lacewingstep.error.ErrorCode;
import org.pcollections.HashTreePSet;

/**
 * Asks the homes of a team's budget for the tokens of a request.
 *
 * <p>The slots are asked one after the other, each for as much of the rest as it has at once. If that is not enough,
 * one slot that answered is asked again and may let the question wait. If that fails too, what was given goes back.
 */
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
                refund(board, team, debits, unspent, draft);
                yield draft.outcome(section);
            }
            case Event.TimerFired(TimerKey.TokenAnswer(RequestIdentifier request, long question)) ->
                draft.outcome(timeOut(board, request, question, draft, now));
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
        final Pending pending = new Pending(
                -1,
                request,
                team,
                tokens,
                new TokenDebits(now, List.of()),
                firstSlot(board, request),
                Optional.empty(),
                now,
                HashTreePSet.empty(),
                Optional.empty(),
                false,
                unreachable());
        return askNext(board, board.tokenRequests(), pending, draft, now);
    }

    /** Requests start at different slots, so that the slots drain evenly. */
    private static int firstSlot(final Blackboard board, final RequestIdentifier request) {
        return Math.floorMod(request.hashCode(), TeamRange.SLOTS);
    }

    private static Refusal unreachable() {
        return new Refusal(
                ErrorCode.HOME_UNREACHABLE, "no home of the team's budget can be reached", Duration.ofSeconds(1));
    }

    private static TokenRequestSection askNext(
            final Blackboard board,
            final TokenRequestSection section,
            final Pending pending,
            final Draft draft,
            final Instant now) {
        final int slots = TeamRange.SLOTS;
        for (int offset = 0; offset < slots; offset++) {
            final int slot = (pending.slot() + offset) % slots;
            final Optional<Member> home = reachableHome(board, pending.team(), slot, now);
            if (!pending.triedSlots().contains(slot) && home.isPresent()) {
                return ask(board, section, pending, slot, home.get(), Duration.ZERO, draft, now);
            }
        }
        return askPatiently(board, section, pending, draft, now);
    }

    private static TokenRequestSection askPatiently(
            final Blackboard board,
            final TokenRequestSection section,
            final Pending pending,
            final Draft draft,
            final Instant now) {
        final Policy policy = board.identity().policy();
        final Duration left = Duration.between(now, pending.startedAt().plus(policy.grantLife()))
                .dividedBy(2);
        final Duration patience = left.compareTo(policy.admissionPatience()) < 0 ? left : policy.admissionPatience();
        if (!pending.waited() && pending.answeredSlot().isPresent() && patience.isPositive()) {
            final int slot = pending.answeredSlot().get();
            final Optional<Member> home = reachableHome(board, pending.team(), slot, now);
            if (home.isPresent()) {
                return ask(board, section, pending, slot, home.get(), patience, draft, now);
            }
        }
        return giveUp(board, section, pending, draft);
    }

    private static Optional<Member> reachableHome(
            final Blackboard board, final TeamName team, final int slot, final Instant now) {
        final Duration silence = board.identity().policy().peerSilenceLimit();
        return board.membership()
                .home(new Shard.TeamShard(TeamRange.of(team), slot))
                .filter(member -> board.membership()
                        .isReachable(member.incarnation(), board.identity().incarnation(), silence, now));
    }

    private static TokenRequestSection ask(
            final Blackboard board,
            final TokenRequestSection section,
            final Pending pending,
            final int slot,
            final Member home,
            final Duration patience,
            final Draft draft,
            final Instant now) {
        final long question = section.nextQuestion();
        final Pending asked = pending.ask(question, slot, home.incarnation(), patience.isPositive());
        draft.add(new Effect.SendToPeer(
                home,
                new PeerMessage.TokenAsk(
                        question, pending.team(), slot, pending.missing(), patience.isZero(), patience)));
        final Instant due = pending.startedAt().plus(board.identity().policy().grantLife());
        final Instant answerDue = now.plus(answerLimit(board, patience));
        draft.add(new Effect.StartTimer(
                new TimerKey.TokenAnswer(pending.request(), question), answerDue.isBefore(due) ? answerDue : due));
        return section.open(asked);
    }

    /** A home that stays silent for a quarter of the grant's life is taken for unreachable. */
    private static Duration answerLimit(final Blackboard board, final Duration patience) {
        return board.identity().policy().grantLife().dividedBy(4).plus(patience);
    }

    private static TokenRequestSection answered(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.TokenAnswer answer,
            final Draft draft,
            final Instant now) {
        final TokenRequestSection section = board.tokenRequests();
        final Pending pending = section.pending().get(answer.question());
        if (pending == null || !pending.home().equals(Optional.of(sender))) {
            return giveBack(board, section, sender, answer, draft);
        }
        final TokenRequestSection rest = section.without(pending);
        if (answer.verdict() == TokenVerdict.GRANTED) {
            final TokenDebits.Part part = new TokenDebits.Part(sender, pending.slot(), answer.debit(), answer.tokens());
            return granted(board, rest, pending.answered(pending.debits().with(part), pending.refusal()), draft, now);
        }
        final boolean refused = answer.verdict() == TokenVerdict.REFUSED;
        final Pending next = refused ? pending.answered(pending.debits(), exceeded(answer)) : pending;
        return askNext(board, rest, next, draft, now);
    }

    /** Tokens that arrive after the question was abandoned are not used. */
    private static TokenRequestSection giveBack(
            final Blackboard board,
            final TokenRequestSection section,
            final Incarnation sender,
            final PeerMessage.TokenAnswer answer,
            final Draft draft) {
        final Pending late = section.abandoned().get(answer.question());
        if (late == null || !late.home().equals(Optional.of(sender))) {
            return section;
        }
        if (answer.verdict() == TokenVerdict.GRANTED) {
            final PeerMessage refund =
                    new PeerMessage.TokenRefund(late.team(), late.slot(), answer.debit(), answer.tokens());
            PeerReply.to(board, sender, refund).ifPresent(draft::add);
        }
        return section.forget(answer.question());
    }

    private static Refusal exceeded(final PeerMessage.TokenAnswer answer) {
        return new Refusal(ErrorCode.RATE_EXCEEDED, "the team's token rate is used up", answer.retryAfter());
    }

    private static TokenRequestSection granted(
            final Blackboard board,
            final TokenRequestSection rest,
            final Pending pending,
            final Draft draft,
            final Instant now) {
        if (now.isAfter(pending.startedAt().plus(board.identity().policy().grantLife()))) {
            return giveUp(board, rest, pending, draft);
        }
        if (pending.missing() > 0) {
            return askNext(board, rest, pending, draft, now);
        }
        draft.add(new Event.TokensGranted(pending.request(), pending.debits()));
        return rest;
    }

    private static TokenRequestSection timeOut(
            final Blackboard board,
            final RequestIdentifier request,
            final long question,
            final Draft draft,
            final Instant now) {
        final TokenRequestSection section = board.tokenRequests();
        final Pending pending = section.pending().get(question);
        return pending == null ? section : askNext(board, section.abandon(pending), pending, draft, now);
    }

    private static TokenRequestSection withdraw(
            final Blackboard board, final RequestIdentifier request, final Draft draft) {
        final TokenRequestSection section = board.tokenRequests();
        final Long question = section.byRequest().get(request);
        if (question == null) {
            return section;
        }
        final Pending pending = section.pending().get(question);
        refund(board, pending.team(), pending.debits(), pending.debits().tokens(), draft);
        return section.abandon(pending);
    }

    private static TokenRequestSection giveUp(
            final Blackboard board, final TokenRequestSection rest, final Pending pending, final Draft draft) {
        refund(board, pending.team(), pending.debits(), pending.debits().tokens(), draft);
        draft.add(new Event.TokensRefused(pending.request(), pending.refusal()));
        return rest;
    }

    private static void refund(
            final Blackboard board,
            final TeamName team,
            final TokenDebits debits,
            final long unspent,
            final Draft draft) {
        long left = unspent;
        for (final TokenDebits.Part part : debits.parts().reversed()) {
            final long share = Math.min(left, part.tokens());
            if (share > 0) {
                final PeerMessage message = new PeerMessage.TokenRefund(team, part.slot(), part.number(), share);
                PeerReply.to(board, part.home(), message).ifPresent(draft::add);
                left -= share;
            }
        }
    }
}
