package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.blackboard.TokenRequestSection;
import org.lacewingstep.blackboard.TokenRequestSection.Question;
import org.lacewingstep.blackboard.TokenRequestSection.Search;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.Shard;
import org.lacewingstep.domain.Team;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.TeamRange;
import org.lacewingstep.error.ErrorCode;

/**
 * Chooses which slots of a team's budget to ask next.
 *
 * <p>A small request asks one slot. A request that is large beside the slot's capacity asks all slots at once for equal
 * parts, so that no slot overflows while another one is empty. What is missing then is asked of the slots that still
 * have tokens, at last of one slot that may let the question wait. If that fails too, all tokens go back.
 */
final class TokenSearch {
    /** A home that stays silent for this part of the grant's life is taken for unreachable. */
    private static final int ANSWER_SHARE = 4;

    /** A request is large if it needs more than this part of a slot's capacity. */
    private static final int LARGE_SHARE = 32;

    private TokenSearch() {}

    /**
     * Asks the next slots, or gives up.
     *
     * @param board the blackboard, not null
     * @param section the searches, not null
     * @param search the search, not null
     * @param draft collects what follows, not null
     * @param now the present time, not null
     * @return the searches afterwards, never null
     */
    static TokenRequestSection askNext(
            final Blackboard board,
            final TokenRequestSection section,
            final Search search,
            final Draft draft,
            final Instant now) {
        final List<Integer> open = openSlots(board, search, now);
        if (open.isEmpty()) {
            return askPatiently(board, section, search, draft, now);
        }
        if (search.tried().isEmpty() && open.size() > 1 && isLarge(board, search)) {
            return askAll(board, section, search, open, draft, now);
        }
        return ask(board, section, search, open.getFirst(), search.missing(), Duration.ZERO, draft, now);
    }

    /**
     * Gives everything back and refuses the request.
     *
     * @param board the blackboard, not null
     * @param section the searches, not null
     * @param search the search, not null
     * @param draft collects what follows, not null
     * @return the searches afterwards, never null
     */
    static TokenRequestSection giveUp(
            final Blackboard board, final TokenRequestSection section, final Search search, final Draft draft) {
        TokenRefunds.send(board, search.team(), search.debits(), search.debits().tokens(), draft);
        draft.add(new Event.TokensRefused(search.request(), search.refusal()));
        return section.without(search.request());
    }

    /**
     * Creates the refusal for the case that no home answers.
     *
     * @return the refusal, never null
     */
    static Refusal unreachable() {
        return new Refusal(
                ErrorCode.HOME_UNREACHABLE, "no home of the team's budget can be reached", Duration.ofSeconds(1));
    }

    /** Slots that may still have tokens; requests start at different ones, so that the slots drain evenly. */
    private static List<Integer> openSlots(final Blackboard board, final Search search, final Instant now) {
        final int first = Math.floorMod(search.request().hashCode(), TeamRange.SLOTS);
        final List<Integer> open = new ArrayList<>();
        for (int offset = 0; offset < TeamRange.SLOTS; offset++) {
            final int slot = (first + offset) % TeamRange.SLOTS;
            if (!search.exhausted().contains(slot)
                    && reachableHome(board, search.team(), slot, now).isPresent()) {
                open.add(slot);
            }
        }
        return open;
    }

    private static boolean isLarge(final Blackboard board, final Search search) {
        final Team team = board.configuration().inForce().teams().get(search.team());
        return team != null
                && search.tokens()
                        > BudgetShare.of(team, board.identity().policy()).capacity() / LARGE_SHARE;
    }

    private static TokenRequestSection askAll(
            final Blackboard board,
            final TokenRequestSection section,
            final Search search,
            final List<Integer> slots,
            final Draft draft,
            final Instant now) {
        TokenRequestSection next = section.with(search);
        long left = search.missing();
        for (int index = 0; index < slots.size(); index++) {
            final long part = left / (slots.size() - index);
            left -= part;
            final Search current = next.searches().get(search.request());
            next = ask(board, next, current, slots.get(index), part, Duration.ZERO, draft, now);
        }
        return next;
    }

    private static TokenRequestSection askPatiently(
            final Blackboard board,
            final TokenRequestSection section,
            final Search search,
            final Draft draft,
            final Instant now) {
        final Policy policy = board.identity().policy();
        final Duration left = Duration.between(now, search.startedAt().plus(policy.grantLife()))
                .dividedBy(2);
        final Duration patience = left.compareTo(policy.admissionPatience()) < 0 ? left : policy.admissionPatience();
        final boolean rate = search.refusal().code() == ErrorCode.RATE_EXCEEDED;
        if (rate && !search.waited() && patience.isPositive()) {
            for (final int slot : search.exhausted()) {
                if (reachableHome(board, search.team(), slot, now).isPresent()) {
                    return ask(board, section, search, slot, search.missing(), patience, draft, now);
                }
            }
        }
        return giveUp(board, section, search, draft);
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
            final Search search,
            final int slot,
            final long tokens,
            final Duration patience,
            final Draft draft,
            final Instant now) {
        final Member home = reachableHome(board, search.team(), slot, now).orElseThrow();
        final long number = section.nextQuestion();
        draft.add(new Effect.SendToPeer(
                home, new PeerMessage.TokenAsk(number, search.team(), slot, tokens, patience.isZero(), patience)));
        final Duration answerLimit =
                board.identity().policy().grantLife().dividedBy(ANSWER_SHARE).plus(patience);
        draft.add(new Effect.StartTimer(new TimerKey.TokenAnswer(search.request(), number), now.plus(answerLimit)));
        return section.open(new Question(number, search.request(), search.team(), slot, home.incarnation(), tokens))
                .with(search.ask(slot, patience.isPositive()));
    }
}
