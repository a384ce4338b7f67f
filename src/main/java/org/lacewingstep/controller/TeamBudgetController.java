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
import org.lacewingstep.blackboard.TeamBudgetSection.HandedOverLevel;
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

/** Adopts, resizes, serves and hands over the slots of team budgets whose shards this process owns. */
public final class TeamBudgetController implements Controller<TeamBudgetSection> {
    @Override
    public Class<TeamBudgetSection> section() {
        return TeamBudgetSection.class;
    }

    @Override
    public Outcome<TeamBudgetSection> step(final Blackboard board, final Event event, final Instant now) {
        return switch (event) {
            case Event.RosterAdopted(Roster previous) -> handOverSlots(board, now);
            case Event.RosterSettled(long epoch) -> Outcome.of(adoptSlots(board, board.teamBudgets(), now));
            case Event.ConfigurationAdopted(long generation) -> Outcome.of(adoptSlots(board, resize(board, now), now));
            case Event.TimerFired(TimerKey.TeamBudgetCheck(SlotKey key)) -> serve(board, key, now);
            case Event.PeerMessageReceived(Incarnation sender, PeerMessage message) ->
                receive(board, sender, message, now);
            default -> Outcome.of(board.teamBudgets());
        };
    }

    private static Outcome<TeamBudgetSection> receive(
            final Blackboard board, final Incarnation sender, final PeerMessage message, final Instant now) {
        return switch (message) {
            case PeerMessage.TokenRequest request -> TokenRequestQueue.receive(board, sender, request, now);
            case PeerMessage.TokenRefund refund -> refund(board, refund, now);
            case PeerMessage.BudgetHandover handover -> Outcome.of(storeHandover(board, handover));
            default -> Outcome.of(board.teamBudgets());
        };
    }

    private static Outcome<TeamBudgetSection> serve(final Blackboard board, final SlotKey key, final Instant now) {
        final SlotBudget budget = board.teamBudgets().budgets().get(key);
        return budget == null ? Outcome.of(board.teamBudgets()) : TokenRequestQueue.serve(board, key, budget, now);
    }

    private static Outcome<TeamBudgetSection> refund(
            final Blackboard board, final PeerMessage.TokenRefund refund, final Instant now) {
        final SlotKey key = new SlotKey(refund.team(), refund.slot());
        final SlotBudget budget = board.teamBudgets().budgets().get(key);
        if (budget == null) {
            return Outcome.of(board.teamBudgets());
        }
        final TokenBucket bucket = budget.bucket().refill(now).refund(refund.debit(), refund.tokens());
        return TokenRequestQueue.serve(board, key, new SlotBudget(bucket, budget.waiting()), now);
    }

    private static TeamBudgetSection storeHandover(final Blackboard board, final PeerMessage.BudgetHandover handover) {
        final TeamBudgetSection section = board.teamBudgets();
        final SlotKey key = new SlotKey(handover.team(), handover.slot());
        if (handover.epoch() < board.membership().roster().epoch()
                || section.budgets().containsKey(key)) {
            return section;
        }
        final HandedOverLevel level = new HandedOverLevel(handover.epoch(), handover.level());
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

    /**
     * Adopts the slots owned under the settled roster, which no other process can still serve. A slot without a
     * handed-over level starts empty.
     */
    private static TeamBudgetSection adoptSlots(
            final Blackboard board, final TeamBudgetSection section, final Instant now) {
        if (!board.membership().agreement().settled()) {
            return section;
        }
        final ShardOwnerCache owners = new ShardOwnerCache(board.membership());
        PMap<SlotKey, SlotBudget> budgets = section.budgets();
        PMap<SlotKey, HandedOverLevel> handedOver = section.handedOver();
        for (final Team team : board.configuration().inForce().teams().values()) {
            for (int slot = 0; slot < TeamRange.SLOT_COUNT; slot++) {
                final SlotKey key = new SlotKey(team.name(), slot);
                if (!budgets.containsKey(key) && isOwnedHere(board, owners, key)) {
                    final BudgetShare share =
                            BudgetShare.of(team, board.identity().policy());
                    final HandedOverLevel level = handedOver.get(key);
                    final TokenBucket bucket = TokenBucket.of(
                            share.tokensPerSecond(), share.capacity(), level == null ? 0 : level.level(), now);
                    budgets = budgets.plus(key, new SlotBudget(bucket, TreePVector.empty()));
                    handedOver = handedOver.minus(key);
                }
            }
        }
        return new TeamBudgetSection(budgets, handedOver);
    }

    private static boolean isOwnedHere(final Blackboard board, final ShardOwnerCache owners, final SlotKey key) {
        return owners.shardOwner(key.shard())
                .filter(member -> member.incarnation().equals(board.identity().incarnation()))
                .isPresent();
    }

    private static Outcome<TeamBudgetSection> handOverSlots(final Blackboard board, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        final ShardOwnerCache owners = new ShardOwnerCache(board.membership());
        final boolean membershipConfirmed = board.membership().status().isConfirmed(now);
        PMap<SlotKey, SlotBudget> budgets = board.teamBudgets().budgets();
        for (final Map.Entry<SlotKey, SlotBudget> entry : budgets.entrySet()) {
            if (!isOwnedHere(board, owners, entry.getKey())) {
                final SlotBudget budget = entry.getValue();
                budgets = budgets.minus(entry.getKey());
                budget.waiting().forEach(waiting -> TokenRequestQueue.respondNotOwner(board, waiting, builder));
                if (membershipConfirmed) {
                    final double level = budget.bucket().refill(now).level();
                    owners.shardOwner(entry.getKey().shard())
                            .ifPresent(shardOwner ->
                                    builder.add(handoverEffect(board, shardOwner, entry.getKey(), level)));
                }
            }
        }
        final PMap<SlotKey, HandedOverLevel> forwarded = forwardLevels(board, owners, builder);
        return builder.outcome(new TeamBudgetSection(budgets, forwarded));
    }

    /** Forwards received levels of slots whose shard owner changed again before this process adopted the slots. */
    private static PMap<SlotKey, HandedOverLevel> forwardLevels(
            final Blackboard board, final ShardOwnerCache owners, final OutcomeBuilder builder) {
        PMap<SlotKey, HandedOverLevel> handedOver = board.teamBudgets().handedOver();
        for (final Map.Entry<SlotKey, HandedOverLevel> entry : handedOver.entrySet()) {
            final boolean reached =
                    entry.getValue().epoch() <= board.membership().roster().epoch();
            if (reached && !isOwnedHere(board, owners, entry.getKey())) {
                handedOver = handedOver.minus(entry.getKey());
                final double level = entry.getValue().level();
                final Optional<Member> shardOwner =
                        owners.shardOwner(entry.getKey().shard());
                shardOwner.ifPresent(member -> builder.add(handoverEffect(board, member, entry.getKey(), level)));
            }
        }
        return handedOver;
    }

    private static Effect handoverEffect(
            final Blackboard board, final Member shardOwner, final SlotKey key, final double level) {
        final long epoch = board.membership().roster().epoch();
        return new Effect.SendToPeer(shardOwner, new PeerMessage.BudgetHandover(epoch, key.team(), key.slot(), level));
    }
}
