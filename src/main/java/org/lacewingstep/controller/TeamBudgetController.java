package org.lacewingstep.controller;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.TeamBudgetSection;
import org.lacewingstep.blackboard.TeamBudgetSection.HandedOver;
import org.lacewingstep.blackboard.TeamBudgetSection.SlotBudget;
import org.lacewingstep.blackboard.TeamBudgetSection.SlotKey;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.Team;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.TeamRange;
import org.lacewingstep.domain.TokenBucket;
import org.pcollections.PMap;
import org.pcollections.TreePVector;

/** Holds the slots of team budgets that have their home here; takes them up, resizes them and hands them over. */
public final class TeamBudgetController implements Controller<TeamBudgetSection> {
    @Override
    public Class<TeamBudgetSection> section() {
        return TeamBudgetSection.class;
    }

    @Override
    public Outcome<TeamBudgetSection> step(final Blackboard board, final Event event, final Instant now) {
        return switch (event) {
            case Event.RosterAdopted(Roster previous) -> handOver(board, now);
            case Event.RosterSettled(long epoch) -> Outcome.of(takeUp(board, board.teamBudgets(), now));
            case Event.ConfigurationAdopted(long generation) -> Outcome.of(takeUp(board, resize(board, now), now));
            case Event.TimerFired(TimerKey.TeamBudgetCheck(SlotKey key)) -> serve(board, key, now);
            case Event.PeerMessageReceived(Incarnation sender, PeerMessage message) ->
                receive(board, sender, message, now);
            default -> Outcome.of(board.teamBudgets());
        };
    }

    private static Outcome<TeamBudgetSection> receive(
            final Blackboard board, final Incarnation sender, final PeerMessage message, final Instant now) {
        return switch (message) {
            case PeerMessage.TokenAsk ask -> BudgetQueue.ask(board, sender, ask, now);
            case PeerMessage.TokenRefund refund -> refund(board, refund, now);
            case PeerMessage.BudgetHandover handover -> Outcome.of(store(board, handover));
            default -> Outcome.of(board.teamBudgets());
        };
    }

    private static Outcome<TeamBudgetSection> serve(final Blackboard board, final SlotKey key, final Instant now) {
        final SlotBudget budget = board.teamBudgets().budgets().get(key);
        return budget == null ? Outcome.of(board.teamBudgets()) : BudgetQueue.serve(board, key, budget, now);
    }

    private static Outcome<TeamBudgetSection> refund(
            final Blackboard board, final PeerMessage.TokenRefund refund, final Instant now) {
        final SlotKey key = new SlotKey(refund.team(), refund.slot());
        final SlotBudget budget = board.teamBudgets().budgets().get(key);
        if (budget == null) {
            return Outcome.of(board.teamBudgets());
        }
        final TokenBucket bucket = budget.bucket().refill(now).refund(refund.debit(), refund.tokens());
        return BudgetQueue.serve(board, key, new SlotBudget(bucket, budget.waiting()), now);
    }

    private static TeamBudgetSection store(final Blackboard board, final PeerMessage.BudgetHandover handover) {
        final TeamBudgetSection section = board.teamBudgets();
        final SlotKey key = new SlotKey(handover.team(), handover.slot());
        if (handover.epoch() < board.membership().roster().epoch()
                || section.budgets().containsKey(key)) {
            return section;
        }
        final HandedOver level = new HandedOver(handover.epoch(), handover.level());
        return new TeamBudgetSection(section.budgets(), section.handedOver().plus(key, level));
    }

    private static TeamBudgetSection resize(final Blackboard board, final Instant now) {
        final Map<TeamName, Team> teams = board.configuration().inForce().teams();
        PMap<SlotKey, SlotBudget> budgets = board.teamBudgets().budgets();
        for (final Map.Entry<SlotKey, SlotBudget> entry : budgets.entrySet()) {
            final Team team = teams.get(entry.getKey().team());
            if (team == null) {
                budgets = budgets.minus(entry.getKey());
            } else {
                final BudgetShare share = BudgetShare.of(team, board.identity().policy());
                final TokenBucket bucket = entry.getValue().bucket().refill(now);
                final TokenBucket resized = bucket.resize(share.tokensPerSecond(), share.capacity());
                budgets = budgets.plus(
                        entry.getKey(), new SlotBudget(resized, entry.getValue().waiting()));
            }
        }
        return new TeamBudgetSection(budgets, board.teamBudgets().handedOver());
    }

    /** Nobody else can hold these slots now; without a handed-over level they start empty. */
    private static TeamBudgetSection takeUp(
            final Blackboard board, final TeamBudgetSection section, final Instant now) {
        if (!board.membership().agreement().settled()) {
            return section;
        }
        final HomeTable homes = new HomeTable(board.membership());
        PMap<SlotKey, SlotBudget> budgets = section.budgets();
        PMap<SlotKey, HandedOver> handedOver = section.handedOver();
        for (final Team team : board.configuration().inForce().teams().values()) {
            for (int slot = 0; slot < TeamRange.SLOTS; slot++) {
                final SlotKey key = new SlotKey(team.name(), slot);
                if (!budgets.containsKey(key) && isHere(board, homes, key)) {
                    final BudgetShare share =
                            BudgetShare.of(team, board.identity().policy());
                    final HandedOver level = handedOver.get(key);
                    final TokenBucket bucket = TokenBucket.of(
                            share.tokensPerSecond(), share.capacity(), level == null ? 0 : level.level(), now);
                    budgets = budgets.plus(key, new SlotBudget(bucket, TreePVector.empty()));
                    handedOver = handedOver.minus(key);
                }
            }
        }
        return new TeamBudgetSection(budgets, handedOver);
    }

    private static boolean isHere(final Blackboard board, final HomeTable homes, final SlotKey key) {
        return homes.home(key.shard())
                .filter(member -> member.incarnation().equals(board.identity().incarnation()))
                .isPresent();
    }

    private static Outcome<TeamBudgetSection> handOver(final Blackboard board, final Instant now) {
        final Draft draft = new Draft();
        final HomeTable homes = new HomeTable(board.membership());
        final boolean exact = board.membership().standing().isVouched(now);
        PMap<SlotKey, SlotBudget> budgets = board.teamBudgets().budgets();
        for (final Map.Entry<SlotKey, SlotBudget> entry : budgets.entrySet()) {
            if (!isHere(board, homes, entry.getKey())) {
                final SlotBudget budget = entry.getValue();
                budgets = budgets.minus(entry.getKey());
                budget.waiting().forEach(waiting -> BudgetQueue.answerNotHome(board, waiting, draft));
                if (exact) {
                    final double level = budget.bucket().refill(now).level();
                    homes.home(entry.getKey().shard())
                            .ifPresent(home -> draft.add(handover(board, home, entry.getKey(), level)));
                }
            }
        }
        final PMap<SlotKey, HandedOver> forwarded = forward(board, homes, draft);
        return draft.outcome(new TeamBudgetSection(budgets, forwarded));
    }

    /** Passes on levels for slots whose home moved again before they were taken up here. */
    private static PMap<SlotKey, HandedOver> forward(final Blackboard board, final HomeTable homes, final Draft draft) {
        PMap<SlotKey, HandedOver> handedOver = board.teamBudgets().handedOver();
        for (final Map.Entry<SlotKey, HandedOver> entry : handedOver.entrySet()) {
            final boolean due =
                    entry.getValue().epoch() <= board.membership().roster().epoch();
            if (due && !isHere(board, homes, entry.getKey())) {
                handedOver = handedOver.minus(entry.getKey());
                final double level = entry.getValue().level();
                final Optional<Member> home = homes.home(entry.getKey().shard());
                home.ifPresent(member -> draft.add(handover(board, member, entry.getKey(), level)));
            }
        }
        return handedOver;
    }

    private static Effect handover(final Blackboard board, final Member home, final SlotKey key, final double level) {
        final long epoch = board.membership().roster().epoch();
        return new Effect.SendToPeer(home, new PeerMessage.BudgetHandover(epoch, key.team(), key.slot(), level));
    }
}
