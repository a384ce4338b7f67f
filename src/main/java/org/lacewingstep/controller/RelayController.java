package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Decision;
import org.lacewingstep.blackboard.Decision.Input;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PeerMessage.SiteLoad;
import org.lacewingstep.blackboard.RelaySection;
import org.lacewingstep.blackboard.RelaySection.HistoryEntry;
import org.lacewingstep.blackboard.RelaySection.PendingQuery;
import org.lacewingstep.blackboard.RelaySection.SentQuery;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.StoreRevision;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Passes the store's changes, confirmations of the routing table and load reports on between the instances of a large
 * site.
 *
 * <p>An instance sends queries to the relay of its failure domain. The relay answers each query after the next
 * confirmation that it requests from the store, so the confirmation is as young as the query and needs no common clock.
 * Load reports travel over the relays of both failure domains.
 */
public final class RelayController implements Controller<RelaySection> {
    /** Interval at which a relay passes reports on and other instances check their query. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

    /** Interval between two queries that are answered. */
    private static final Duration QUERY_INTERVAL = Duration.ofMillis(500);

    /** Time without an answer after which the next query goes to another relay; longer than a relay's two calls. */
    private static final Duration QUERY_TIMEOUT = Duration.ofMillis(1500);

    /** More queries than a process sends between two milliseconds, the unit of the number of a process. */
    private static final long QUERIES_OF_PROCESS = 1_000_000;

    /** Every how many queries the relay that ranks first is tried again after another one took its place. */
    private static final int FIRST_RANK_PERIOD = 30;

    /** Changes kept for the answers to queries; some seconds of a large site. */
    private static final int MAX_HISTORY = 1000;

    @Override
    public Class<RelaySection> section() {
        return RelaySection.class;
    }

    @Override
    public Outcome<RelaySection> step(final Blackboard board, final Event event, final Instant now) {
        final RelaySection section = board.serving().relay();
        return switch (event) {
            case Event.SiteConfigured configured -> scheduleTick(section, new OutcomeBuilder(), now);
            case Event.TimerFired(TimerKey.RelayTick()) -> tick(board, now);
            case Event.StoreRead(var content, StoreRevision revision, Instant requestedAt) ->
                Outcome.of(withFirstAnswer(section, now).withHistory(TreePVector.empty(), revision));
            case Event.StoreChanged(var changes, StoreRevision revision) ->
                Outcome.of(withHistory(section, changes, revision));
            case Event.TableConfirmed(var newer, StoreRevision revision, Instant requestedAt) ->
                answerQueries(board, revision, requestedAt);
            case Event.PeerMessageReceived(
                    Incarnation sender,
                    PeerMessage.StoreQuery(long number, StoreRevision revision)) ->
                Outcome.of(section.withQueries(
                        section.queries().plus(sender.instance(), new PendingQuery(number, revision, now)), now));
            case Event.PeerMessageReceived(Incarnation sender, PeerMessage.StoreUpdate update) ->
                applyUpdate(board, update, now);
            case Event.PeerMessageReceived(Incarnation sender, SiteLoad load) -> applyReport(board, sender, load, now);
            case Event.PeerMessageReceived(Incarnation sender, PeerMessage.LoadDigest(var reports)) ->
                applyDigest(board, sender, reports, now);
            // The time of a suspension is not part of the present time, so the age of an answer would be wrong.
            case Event.ClockJumped jumped ->
                Outcome.of(section.withQuery(
                        new SentQuery(
                                nextNumber(board), now, false, section.query().rank()),
                        section.answeredAt()));
            default -> Outcome.of(section);
        };
    }

    private static Outcome<RelaySection> scheduleTick(
            final RelaySection section, final OutcomeBuilder builder, final Instant now) {
        builder.add(new Effect.StartTimer(new TimerKey.RelayTick(), now.plus(TICK_INTERVAL)));
        return builder.outcome(section);
    }

    /** Counts the first reading of the store as an answer, so that an instance that starts waits for its relay. */
    private static RelaySection withFirstAnswer(final RelaySection section, final Instant now) {
        return section.answeredAt().equals(Instant.EPOCH) ? section.withQuery(section.query(), now) : section;
    }

    private static Outcome<RelaySection> tick(final Blackboard board, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        RelaySection section = board.serving().relay();
        if (board.serving().site().isRelayed()) {
            section = RelayPolicy.isRelay(board, now)
                    ? passReportsOn(board, builder)
                    : section.withReports(HashTreePMap.empty(), HashTreePMap.empty());
            section = section.withQuery(sendQuery(board, builder, now), section.answeredAt())
                    .withPassingOnSoon(false);
        }
        return scheduleTick(section, builder, now);
    }

    /** Sends the next query, to the next relay in rank if the last one was not answered in time. */
    private static SentQuery sendQuery(final Blackboard board, final OutcomeBuilder builder, final Instant now) {
        final SentQuery last = board.serving().relay().query();
        final Duration elapsed = Duration.between(last.sentAt(), now);
        if (elapsed.compareTo(last.answered() ? QUERY_INTERVAL : QUERY_TIMEOUT) < 0
                || board.serving().registry().revision().isEmpty()
                || RelayPolicy.isRelay(board, now)) {
            return last;
        }
        final SentQuery next = new SentQuery(nextNumber(board), now, false, nextRank(last));
        RelayPolicy.relayOfRank(board, next.rank())
                .ifPresent(relay -> builder.add(new Effect.SendToPeer(
                        relay,
                        new PeerMessage.StoreQuery(
                                next.number(),
                                board.serving().registry().revision().get()))));
        if (!last.answered()) {
            builder.add(new Effect.Log(Decision.of(
                    "relay", "not answered", Input.of("query", last.number()), Input.of("next_rank", next.rank()))));
        }
        return next;
    }

    /** Numbers the queries of each process differently, so that no answer to an earlier process matches. */
    private static long nextNumber(final Blackboard board) {
        final long first = board.identity().incarnation().number() * QUERIES_OF_PROCESS;
        return Math.max(first, board.serving().relay().query().number()) + 1;
    }

    private static int nextRank(final SentQuery last) {
        if (!last.answered()) {
            return last.rank() + 1;
        }
        return last.number() % FIRST_RANK_PERIOD == 0 ? 0 : last.rank();
    }

    private static RelaySection withHistory(
            final RelaySection section, final List<StoreChange> changes, final StoreRevision revision) {
        PVector<HistoryEntry> history = section.history();
        for (final StoreChange change : changes) {
            if (!(change instanceof StoreChange.TableWritten)) {
                history = history.plus(new HistoryEntry(revision, change));
            }
        }
        StoreRevision start = section.historyStart();
        if (history.size() > MAX_HISTORY) {
            start = history.get(history.size() - MAX_HISTORY - 1).revision();
            history = TreePVector.from(history.subList(history.size() - MAX_HISTORY, history.size()));
        }
        return section.withHistory(history, start);
    }

    private static Outcome<RelaySection> answerQueries(
            final Blackboard board, final StoreRevision tableRevision, final Instant requestedAt) {
        final RelaySection section = board.serving().relay();
        final Optional<StoreRevision> revision = board.serving().registry().revision();
        final OutcomeBuilder builder = new OutcomeBuilder();
        PMap<InstanceName, PendingQuery> open = section.queries();
        for (final Map.Entry<InstanceName, PendingQuery> entry :
                section.queries().entrySet()) {
            final Member sender = board.serving().site().present().get(entry.getKey());
            if (revision.isEmpty() || entry.getValue().receivedAt().isAfter(requestedAt)) {
                continue;
            }
            open = open.minus(entry.getKey());
            if (sender != null) {
                builder.add(new Effect.SendToPeer(
                        sender, update(section, entry.getValue(), tableRevision, revision.get())));
            }
        }
        return builder.outcome(section.withQueries(open, section.lastQueryAt()));
    }

    private static PeerMessage update(
            final RelaySection section,
            final PendingQuery query,
            final StoreRevision tableRevision,
            final StoreRevision revision) {
        final boolean complete = !section.historyStart().isAfter(query.revision());
        final List<StoreChange> changes = section.history().stream()
                .filter(entry -> complete && entry.revision().isAfter(query.revision()))
                .map(HistoryEntry::change)
                .toList();
        return new PeerMessage.StoreUpdate(query.number(), tableRevision, revision, complete, changes);
    }

    private static Outcome<RelaySection> applyUpdate(
            final Blackboard board, final PeerMessage.StoreUpdate update, final Instant now) {
        final RelaySection section = board.serving().relay();
        final SentQuery query = section.query();
        if (update.number() != query.number() || query.answered()) {
            return Outcome.of(section);
        }
        final OutcomeBuilder builder = new OutcomeBuilder();
        final StoreRevision known = board.serving().registry().revision().orElse(StoreRevision.NONE);
        if (!update.complete()) {
            builder.add(new Effect.ReadStore());
        } else if (update.revision().isAfter(known)) {
            builder.add(new Event.StoreChanged(update.changes(), update.revision()));
        }
        final StoreRevision table = board.serving().routing().revision();
        if (update.tableRevision().isAfter(table)) {
            builder.add(new Effect.ConfirmTable(StoreEras.expected(board, table)));
        } else if (update.tableRevision().equals(table)) {
            builder.add(new Event.TableConfirmed(Optional.empty(), table, query.sentAt()));
        }
        return builder.outcome(
                section.withQuery(new SentQuery(query.number(), query.sentAt(), true, query.rank()), now));
    }

    /** Applies a report that its origin sent here, and keeps it to pass it on if this instance may be a relay. */
    private static Outcome<RelaySection> applyReport(
            final Blackboard board, final Incarnation origin, final SiteLoad load, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        addReport(board, origin, load, builder);
        if (!board.serving().site().isRelayed() || !isInOwnDomain(board, origin)) {
            return builder.outcome(board.serving().relay());
        }
        final RelaySection section = withEarlierTick(board, Map.of(origin, load), builder, now);
        return builder.outcome(
                section.withReports(section.domainReports().plus(origin, load), section.foreignReports()));
    }

    /** Passes reports on early that name the spending of a team whose limit all instances are about to reach. */
    private static RelaySection withEarlierTick(
            final Blackboard board,
            final Map<Incarnation, SiteLoad> reports,
            final OutcomeBuilder builder,
            final Instant now) {
        final RelaySection section = board.serving().relay();
        final boolean soon = !section.passingOnSoon()
                && reports.entrySet().stream()
                        .anyMatch(report -> AllowanceShare.isPassedOnSoon(
                                board, report.getKey(), report.getValue().spent(), now));
        if (soon) {
            builder.add(new Effect.StartTimer(
                    new TimerKey.RelayTick(), now.plus(board.serving().site().shortDelay())));
        }
        return section.withPassingOnSoon(section.passingOnSoon() || soon);
    }

    private static void addReport(
            final Blackboard board, final Incarnation origin, final SiteLoad load, final OutcomeBuilder builder) {
        if (!origin.instance().equals(board.identity().member().name())) {
            builder.add(new Event.PeerLoadReported(origin, load));
        }
    }

    private static boolean isInOwnDomain(final Blackboard board, final Incarnation sender) {
        final Member member = board.serving().site().present().get(sender.instance());
        return member != null && member.failureDomain().equals(RelayPolicy.ownDomain(board));
    }

    private static RelaySection passReportsOn(final Blackboard board, final OutcomeBuilder builder) {
        final RelaySection section = board.serving().relay();
        final Map<Incarnation, SiteLoad> all = new HashMap<>(section.foreignReports());
        all.putAll(section.domainReports());
        final FailureDomainName ownDomain = RelayPolicy.ownDomain(board);
        final InstanceName self = board.identity().member().name();
        if (!all.isEmpty()) {
            RelayPolicy.ranking(board, ownDomain).stream()
                    .filter(member -> !member.name().equals(self))
                    .forEach(member -> builder.add(new Effect.SendToPeer(member, new PeerMessage.LoadDigest(all))));
        }
        if (!section.domainReports().isEmpty()) {
            final PeerMessage digest = new PeerMessage.LoadDigest(section.domainReports());
            board.serving().site().present().values().stream()
                    .map(Member::failureDomain)
                    .distinct()
                    .filter(domain -> !domain.equals(ownDomain))
                    .forEach(domain -> remoteRelay(board, domain)
                            .ifPresent(relay -> builder.add(new Effect.SendToPeer(relay, digest))));
        }
        return section.withReports(HashTreePMap.empty(), HashTreePMap.empty());
    }

    private static Optional<Member> remoteRelay(final Blackboard board, final FailureDomainName domain) {
        return Optional.ofNullable(board.serving().relay().remoteRelays().get(domain))
                .map(board.serving().site().present()::get)
                .or(() -> RelayPolicy.first(board, domain));
    }

    private static Outcome<RelaySection> applyDigest(
            final Blackboard board,
            final Incarnation sender,
            final Map<Incarnation, SiteLoad> reports,
            final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        reports.forEach((origin, load) -> addReport(board, origin, load, builder));
        final Member relay = board.serving().site().present().get(sender.instance());
        if (relay == null || relay.failureDomain().equals(RelayPolicy.ownDomain(board))) {
            return builder.outcome(board.serving().relay());
        }
        final RelaySection section = withEarlierTick(board, reports, builder, now);
        return builder.outcome(section.withRemoteRelay(relay.failureDomain(), relay.name())
                .withReports(section.domainReports(), section.foreignReports().plusAll(reports)));
    }
}
