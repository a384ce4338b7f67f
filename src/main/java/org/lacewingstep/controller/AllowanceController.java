package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

import org.lacewingstep.blackboard.AllowanceChange;
import org.lacewingstep.blackboard.AllowanceSection;
import org.lacewingstep.blackboard.AllowanceSection.PeerSpending;
import org.lacewingstep.blackboard.AllowanceSection.Spending;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.domain.AllowanceBucket;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.RetryBudget;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.TeamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Debits the bucket of each team for units spent at any instance, and the retry budgets of this instance. */
public final class AllowanceController implements Controller<AllowanceSection> {
    /** How long the sums of an absent instance are kept after its last report; longer than usual network partitions. */
    private static final Duration PEER_RETENTION = Duration.ofMinutes(5);

    @Override
    public Class<AllowanceSection> section() {
        return AllowanceSection.class;
    }

    @Override
    public Outcome<AllowanceSection> step(final Blackboard board, final Event event, final Instant now) {
        final AllowanceSection section = board.serving().allowances();
        return Outcome.of(
                switch (event) {
                    case Event.AllowanceChanged(AllowanceChange change) -> withChange(board, change, now);
                    case Event.PeerLoadReported(Incarnation sender, PeerMessage.SiteLoad load) ->
                        withPeerSpending(board, sender, load.spent(), now);
                    case Event.StoreRead read -> withBucketsForTable(board, now);
                    case Event.StoreChanged changed -> withBucketsForTable(board, now);
                    case Event.TableConfirmed confirmed -> withBucketsForTable(board, now);
                    default -> section;
                });
    }

    private static AllowanceSection withChange(
            final Blackboard board, final AllowanceChange change, final Instant now) {
        return switch (change) {
            case AllowanceChange.Spent(TeamName team, long units) -> withOwnSpending(board, team, units, now);
            case AllowanceChange.Released(TeamName team, long units) ->
                withDebit(board, board.serving().allowances(), team, bucket -> bucket.release(units), now);
            case AllowanceChange.Returned(TeamName team, long units) -> withReturned(board, team, units, now);
            case AllowanceChange.FirstSend(ServiceName service) ->
                withRetryBudget(board, service, budget -> budget.earn(AllowanceShare.retriesPerFirstSend(board)), now);
            case AllowanceChange.RetryReserved(ServiceName service) ->
                withRetryBudget(board, service, RetryBudget::reserve, now);
            case AllowanceChange.RetrySent(ServiceName service) ->
                withRetryBudget(board, service, RetryBudget::send, now);
            case AllowanceChange.RetryUnsent(ServiceName service) ->
                withRetryBudget(board, service, RetryBudget::undoSend, now);
            case AllowanceChange.RetryReturned(ServiceName service) ->
                withRetryBudget(board, service, RetryBudget::giveBack, now);
            case AllowanceChange.UncountedRetry(ServiceName service) ->
                withRetryBudget(board, service, RetryBudget::charge, now);
        };
    }

    private static AllowanceSection withRetryBudget(
            final Blackboard board,
            final ServiceName service,
            final UnaryOperator<RetryBudget> change,
            final Instant now) {
        return board.serving()
                .allowances()
                .withRetryBudget(service, change.apply(AllowanceShare.retryBudget(board, service, now)));
    }

    /** Computes all buckets for a new routing table, so that a bucket starts to fill before the first request. */
    private static AllowanceSection withBucketsForTable(final Blackboard board, final Instant now) {
        final AllowanceSection section = withoutExpiredPeers(board, now);
        final StoreRevision revision = board.serving().routing().revision();
        if (section.tableRevision().equals(revision)) {
            return section;
        }
        PMap<TeamName, AllowanceBucket> teams = HashTreePMap.empty();
        for (final TeamName team : board.serving().routing().table().teams().keySet()) {
            final Optional<AllowanceBucket> bucket = AllowanceShare.bucket(board, team, now);
            teams = bucket.isPresent() ? teams.plus(team, bucket.get()) : teams;
        }
        return section.withTeams(revision, teams);
    }

    /**
     * Removes the sums of instances that have been absent for the retention period. An instance whose lease lapsed in a
     * network partition continues to report, and the units reported before must not be debited twice.
     */
    private static AllowanceSection withoutExpiredPeers(final Blackboard board, final Instant now) {
        final AllowanceSection section = board.serving().allowances();
        PMap<InstanceName, PeerSpending> peers = section.peers();
        for (final Map.Entry<InstanceName, PeerSpending> peer : section.peers().entrySet()) {
            final boolean present = board.serving().site().present().containsKey(peer.getKey());
            if (!present && peer.getValue().at().plus(PEER_RETENTION).isBefore(now)) {
                peers = peers.minus(peer.getKey());
            }
        }
        return peers == section.peers() ? section : section.withPeers(peers);
    }

    private static AllowanceSection withOwnSpending(
            final Blackboard board, final TeamName team, final long units, final Instant now) {
        final AllowanceSection section = board.serving().allowances();
        final Spending spending = section.spent().getOrDefault(team, Spending.NONE);
        return withDebit(board, section, team, bucket -> bucket.hold(units), now)
                .withSpent(section.spent().plus(team, spending.plus(units, now)));
    }

    private static AllowanceSection withReturned(
            final Blackboard board, final TeamName team, final long units, final Instant now) {
        final AllowanceSection section = board.serving().allowances();
        final Spending spending = section.spent().getOrDefault(team, Spending.NONE);
        return withDebit(board, section, team, bucket -> bucket.giveBack(units), now)
                .withSpent(section.spent().plus(team, spending.minus(units)));
    }

    /** Debits the increase of a peer's cumulative sums; reports repeat the sums, so a lost message loses no units. */
    private static AllowanceSection withPeerSpending(
            final Blackboard board, final Incarnation sender, final Map<TeamName, Double> sums, final Instant now) {
        AllowanceSection section = board.serving().allowances();
        final PeerSpending known = section.peers().get(sender.instance());
        final boolean sameProcess = known != null && known.process() == sender.number();
        final boolean startedLater =
                sender.number() > board.identity().incarnation().number();
        final PeerSpending base = sameProcess ? known : new PeerSpending(sender.number(), now, new HashMap<>());
        for (final Map.Entry<TeamName, Double> sum : sums.entrySet()) {
            // The part of an older process's first sum that predates this process is unknown, so none is debited.
            final double countedUnits =
                    base.units().getOrDefault(sum.getKey(), startedLater || sameProcess ? 0.0 : sum.getValue());
            if (sum.getValue() > countedUnits) {
                final double units = sum.getValue() - countedUnits;
                section = withDebit(board, section, sum.getKey(), bucket -> bucket.spendElsewhere(units), now);
            }
        }
        return section.withPeers(section.peers().plus(sender.instance(), base.with(now, sums)));
    }

    private static AllowanceSection withDebit(
            final Blackboard board,
            final AllowanceSection section,
            final TeamName team,
            final UnaryOperator<AllowanceBucket> debit,
            final Instant now) {
        return AllowanceShare.bucket(board, team, now)
                .map(bucket -> section.withTeams(
                        section.tableRevision(), section.teams().plus(team, debit.apply(bucket))))
                .orElse(section);
    }
}
