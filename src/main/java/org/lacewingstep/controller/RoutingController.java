package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Decision;
import org.lacewingstep.blackboard.Decision.Input;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.RoutingSection;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.StoreSection;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.StoreRevision;

/** Keeps the newest routing table and periodically confirms with the store that no newer one exists. */
public final class RoutingController implements Controller<RoutingSection> {
    /** Shortest interval between confirmations; several fit into the limit within which a withdrawn key is rejected. */
    private static final Duration MIN_CONFIRMATION_INTERVAL = Duration.ofSeconds(1);

    /** Confirmations per second of all instances together; limited because each request has a cost. */
    private static final int SITE_CONFIRMATIONS_PER_SECOND = 40;

    /** Delay before a failed confirmation is retried. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(400);

    @Override
    public Class<RoutingSection> section() {
        return RoutingSection.class;
    }

    @Override
    public Outcome<RoutingSection> step(final Blackboard board, final Event event, final Instant now) {
        final RoutingSection routing = board.serving().routing();
        return switch (event) {
            case Event.SiteConfigured configured -> start(board, now);
            case Event.TimerFired(TimerKey.TableConfirmation()) -> requestConfirmation(board, now);
            case Event.TableConfirmed(var newer, StoreRevision revision, Instant requestedAt) ->
                handleConfirmation(board, newer, revision, requestedAt, now);
            case Event.TableConfirmationFailed(String reason) -> handleFailedConfirmation(board, reason, now);
            case Event.StoreRead(var content, StoreRevision revision, Instant requestedAt) ->
                applySnapshot(board, content, requestedAt, now);
            case Event.StoreChanged(var changes, StoreRevision revision) -> applyChanges(board, changes, now);
            case Event.StoreRestored restored -> awaitRewriting(board);
            case Event.ClockJumped(Duration by) -> handleClockJump(board, by, now);
            default -> Outcome.of(routing);
        };
    }

    private static Outcome<RoutingSection> start(final Blackboard board, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(nextConfirmationTimer(board, now));
        return builder.outcome(board.serving().routing());
    }

    private static Outcome<RoutingSection> requestConfirmation(final Blackboard board, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        final RoutingSection routing = board.serving().routing();
        final boolean restored = routing.confirmedAt()
                .filter(at -> at.isBefore(routing.checksFrom()))
                .isPresent();
        if (RelayPolicy.readsStore(board, now) || restored) {
            builder.add(new Effect.ConfirmTable(
                    StoreEras.expected(board, board.serving().routing().revision())));
        }
        builder.add(nextConfirmationTimer(board, now));
        return builder.outcome(routing);
    }

    private static Effect nextConfirmationTimer(final Blackboard board, final Instant now) {
        final Duration interval = RelayPolicy.readsStore(board, now)
                ? RelayPolicy.pause(board, MIN_CONFIRMATION_INTERVAL, SITE_CONFIRMATIONS_PER_SECOND, now)
                : MIN_CONFIRMATION_INTERVAL;
        return new Effect.StartTimer(
                new TimerKey.TableConfirmation(),
                now.plus(interval.compareTo(MIN_CONFIRMATION_INTERVAL) > 0 ? interval : MIN_CONFIRMATION_INTERVAL));
    }

    private static Outcome<RoutingSection> handleFailedConfirmation(
            final Blackboard board, final String reason, final Instant now) {
        final RoutingSection routing = board.serving().routing();
        final OutcomeBuilder builder = new OutcomeBuilder();
        final Duration pause = board.serving().site().isRelayed()
                ? RelayPolicy.pause(board, RETRY_INTERVAL, SITE_CONFIRMATIONS_PER_SECOND, now)
                : RETRY_INTERVAL;
        builder.add(new Effect.StartTimer(new TimerKey.TableConfirmation(), now.plus(pause)));
        builder.add(new Effect.Log(Decision.of(
                "routing_proof",
                "failed",
                Input.of("reason", reason),
                Input.of("version", routing.table().version()),
                Input.of("proof_age_ms", confirmationAge(routing, now)))));
        return builder.outcome(routing);
    }

    private static String confirmationAge(final RoutingSection routing, final Instant now) {
        return routing.confirmedAt()
                .map(at -> Long.toString(Duration.between(at, now).toMillis()))
                .orElse("none");
    }

    private static Outcome<RoutingSection> handleConfirmation(
            final Blackboard board,
            final Optional<RoutingTable> newer,
            final StoreRevision revision,
            final Instant requestedAt,
            final Instant now) {
        final RoutingSection routing = board.serving().routing();
        final OutcomeBuilder builder = new OutcomeBuilder();
        final RoutingSection adopted = newer.map(
                        table -> adopt(routing, table, revision, board.serving().store(), now, builder))
                .orElse(routing);
        if (adopted.revision().equals(revision)) {
            return builder.outcome(withConfirmation(adopted, requestedAt));
        }
        builder.add(new Effect.Log(Decision.of(
                "routing_proof",
                "not matched",
                Input.of("revision", revision),
                Input.of("known_revision", adopted.revision()),
                Input.of("version", adopted.table().version()))));
        return builder.outcome(adopted);
    }

    private static Outcome<RoutingSection> applySnapshot(
            final Blackboard board, final List<StoreChange> content, final Instant requestedAt, final Instant now) {
        final RoutingSection routing = board.serving().routing();
        final OutcomeBuilder builder = new OutcomeBuilder();
        // A domain that was taken out after the copy stays out until the operators have written that again.
        final Set<FailureDomainName> stillOut =
                board.serving().store().isOutdated(requestedAt) ? routing.takenOut() : Set.of();
        final RoutingSection cleared = new RoutingSection(
                routing.table(), routing.revision(), routing.confirmedAt(), routing.checksFrom(), stillOut);
        final RoutingSection applied = apply(board, cleared, content, now, builder);
        final boolean newest = content.stream()
                .anyMatch(change -> change instanceof StoreChange.TableWritten(var table, StoreRevision revision)
                        && revision.equals(applied.revision()));
        return builder.outcome(newest ? withConfirmation(applied, requestedAt) : applied);
    }

    private static Outcome<RoutingSection> applyChanges(
            final Blackboard board, final List<StoreChange> changes, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        return builder.outcome(apply(board, board.serving().routing(), changes, now, builder));
    }

    /** Accepts no confirmation before the operators have written again what the copy lacks: its table may be old. */
    private static Outcome<RoutingSection> awaitRewriting(final Blackboard board) {
        final RoutingSection routing = board.serving().routing();
        final Instant settledAt = board.serving().store().tableSettledAt();
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.StartTimer(new TimerKey.TableConfirmation(), settledAt));
        return builder.outcome(new RoutingSection(
                routing.table(),
                routing.revision(),
                routing.confirmedAt(),
                settledAt.isAfter(routing.checksFrom()) ? settledAt : routing.checksFrom(),
                routing.takenOut()));
    }

    private static Outcome<RoutingSection> handleClockJump(
            final Blackboard board, final Duration by, final Instant now) {
        final RoutingSection routing = board.serving().routing();
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.Log(Decision.of("clock", "proof dropped", Input.of("skipped_ms", by.toMillis()))));
        builder.add(new Effect.ConfirmTable(
                StoreEras.expected(board, board.serving().routing().revision())));
        builder.add(nextConfirmationTimer(board, now));
        return builder.outcome(new RoutingSection(
                routing.table(),
                routing.revision(),
                Optional.empty(),
                routing.checksFrom().isAfter(now) ? routing.checksFrom() : now,
                routing.takenOut()));
    }

    private static RoutingSection apply(
            final Blackboard board,
            final RoutingSection routing,
            final List<StoreChange> changes,
            final Instant now,
            final OutcomeBuilder builder) {
        RoutingSection next = routing;
        for (final StoreChange change : changes) {
            next = switch (change) {
                case StoreChange.TableWritten(RoutingTable table, StoreRevision revision) ->
                    adopt(next, table, revision, board.serving().store(), now, builder);
                case StoreChange.DomainOutOfService(FailureDomainName domain) ->
                    withDomain(next, domain, true, builder);
                case StoreChange.DomainInService(FailureDomainName domain) -> withDomain(next, domain, false, builder);
                default -> next;
            };
        }
        return next;
    }

    private static RoutingSection adopt(
            final RoutingSection routing,
            final RoutingTable table,
            final StoreRevision revision,
            final StoreSection store,
            final Instant now,
            final OutcomeBuilder builder) {
        if (!revision.isAfter(routing.revision()) || isBeforeRewriting(routing, table, revision, store, now)) {
            if (table.version() != routing.table().version()) {
                builder.add(new Effect.Log(Decision.of(
                        "routing",
                        "passed over",
                        Input.of("version", table.version()),
                        Input.of("revision", revision),
                        Input.of("known_version", routing.table().version()),
                        Input.of("known_revision", routing.revision()))));
            }
            return routing;
        }
        builder.add(new Effect.Log(Decision.of(
                "routing",
                "adopted",
                Input.of("version", table.version()),
                Input.of("revision", revision),
                Input.of("previous_version", routing.table().version()),
                Input.of("teams", table.teams().size()),
                Input.of("keys", table.keys().size()))));
        return new RoutingSection(table, revision, routing.confirmedAt(), routing.checksFrom(), routing.takenOut());
    }

    /**
     * Returns whether a table is an earlier version that the copy holds. The operators write the later one again; if
     * they have not done so after a long time, what the store holds is what they want.
     */
    private static boolean isBeforeRewriting(
            final RoutingSection routing,
            final RoutingTable table,
            final StoreRevision revision,
            final StoreSection store,
            final Instant now) {
        return revision.era() > routing.revision().era()
                && table.version() < routing.table().version()
                && store.mayLackTable(now);
    }

    private static RoutingSection withDomain(
            final RoutingSection routing,
            final FailureDomainName domain,
            final boolean out,
            final OutcomeBuilder builder) {
        final Set<FailureDomainName> next = new HashSet<>(routing.takenOut());
        if (out ? next.add(domain) : next.remove(domain)) {
            builder.add(new Effect.Log(Decision.of(
                    "failure_domain", out ? "taken out" : "taken back in", Input.of("failure_domain", domain))));
        }
        return new RoutingSection(
                routing.table(), routing.revision(), routing.confirmedAt(), routing.checksFrom(), next);
    }

    private static RoutingSection withConfirmation(final RoutingSection routing, final Instant requestedAt) {
        if (requestedAt.isBefore(routing.checksFrom())) {
            return routing;
        }
        final Instant latest = routing.confirmedAt()
                .filter(known -> known.isAfter(requestedAt))
                .orElse(requestedAt);
        return new RoutingSection(
                routing.table(), routing.revision(), Optional.of(latest), routing.checksFrom(), routing.takenOut());
    }
}
