package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
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
import org.lacewingstep.blackboard.RegistrySection;
import org.lacewingstep.blackboard.RegistrySection.Entry;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;

/** Maintains the registry of upstreams: reads a snapshot from the store once, then watches for changes. */
public final class RegistryController implements Controller<RegistrySection> {
    /** Timeout of a watch; detects a dead connection before a draining upstream must receive no more calls. */
    static final Duration WATCH_TIMEOUT = Duration.ofMillis(1500);

    /** Retention of entries that went missing, because leases may lapse while the store is unavailable. */
    private static final Duration MISSING_RETENTION = Duration.ofMillis(1500);

    /** Watch requests per second of all instances together; limited because each request has a cost. */
    private static final int SITE_WATCHES_PER_SECOND = 45;

    /** Interval of watches on a site with relays; changes reach the other instances within two more seconds. */
    private static final Duration RELAYED_WATCH_INTERVAL = Duration.ofMillis(500);

    /** Delay before a failed watch is resumed. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(400);

    @Override
    public Class<RegistrySection> section() {
        return RegistrySection.class;
    }

    @Override
    public Outcome<RegistrySection> step(final Blackboard board, final Event event, final Instant now) {
        final RegistrySection registry = board.serving().registry();
        return switch (event) {
            case Event.SiteConfigured configured -> start(registry);
            case Event.StoreRead(var content, StoreRevision revision, Instant requestedAt) ->
                applySnapshot(board, content, revision, requestedAt, now);
            case Event.StoreChanged(var changes, StoreRevision revision) -> applyChanges(board, changes, revision, now);
            case Event.StoreRestored(long era) -> readRestored(board, era, now);
            case Event.StoreWatchFailed(boolean historyLost, String reason) ->
                handleFailedWatch(board, historyLost, reason, now);
            case Event.TimerFired(TimerKey.StoreWatch()) -> resumeWatch(board, now);
            case Event.PeerMessageReceived(
                    var sender,
                    PeerMessage.UpstreamDepartures(StoreRevision revision, var changes)) ->
                applyDepartures(board, changes, revision, now);
            default -> Outcome.of(registry);
        };
    }

    private static Outcome<RegistrySection> start(final RegistrySection registry) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.ReadStore());
        return builder.outcome(registry);
    }

    /** Reads the registry again, and tells the other instances of a large site, whose relays may learn of it later. */
    private static Outcome<RegistrySection> readRestored(final Blackboard board, final long era, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        DepartureReports.announceEra(board, era, builder, now);
        builder.add(new Effect.ReadStore());
        return builder.outcome(board.serving().registry());
    }

    private static Outcome<RegistrySection> applySnapshot(
            final Blackboard board,
            final List<StoreChange> content,
            final StoreRevision revision,
            final Instant requestedAt,
            final Instant now) {
        final RegistrySection registry = board.serving().registry();
        final OutcomeBuilder builder = new OutcomeBuilder();
        RegistrySection next = registry.withReading(requestedAt);
        if (!board.serving().store().isOutdated(requestedAt)) {
            for (final UpstreamName name : registry.upstreams().keySet()) {
                next = withMissing(next, name, now);
            }
        }
        next = apply(board, next, content, revision, now, builder);
        DepartureReports.send(board, next, revision, builder, now);
        builder.add(new Effect.Log(Decision.of(
                "registry",
                "read",
                Input.of("revision", revision),
                Input.of("upstreams", next.upstreams().size()))));
        builder.add(new Effect.AwaitStoreChanges(revision, WATCH_TIMEOUT));
        return builder.outcome(withoutExpired(next, now).withRevision(revision, now));
    }

    /** Applies changes and delays the next watch to batch the frequent upstream writes; each request has a cost. */
    private static Outcome<RegistrySection> applyChanges(
            final Blackboard board, final List<StoreChange> changes, final StoreRevision revision, final Instant now) {
        final RegistrySection registry = board.serving().registry();
        final OutcomeBuilder builder = new OutcomeBuilder();
        final RegistrySection next = apply(board, registry, changes, revision, now, builder);
        DepartureReports.send(board, next, revision, builder, now);
        builder.add(new Effect.StartTimer(
                new TimerKey.StoreWatch(),
                now.plus(RelayPolicy.pause(board, RELAYED_WATCH_INTERVAL, SITE_WATCHES_PER_SECOND, now))));
        return builder.outcome(withoutExpired(next, now).withRevision(revision, now));
    }

    /**
     * Applies departures that a relay reported. The revision stays, as other changes up to that of the report may not
     * be known here.
     */
    private static Outcome<RegistrySection> applyDepartures(
            final Blackboard board, final List<StoreChange> changes, final StoreRevision revision, final Instant now) {
        final RegistrySection registry = board.serving().registry();
        if (registry.revision().filter(revision::isAfter).isEmpty()) {
            return Outcome.of(registry);
        }
        final OutcomeBuilder builder = new OutcomeBuilder();
        return builder.outcome(apply(board, registry, changes, revision, now, builder));
    }

    private static Outcome<RegistrySection> handleFailedWatch(
            final Blackboard board, final boolean historyLost, final String reason, final Instant now) {
        final RegistrySection registry = board.serving().registry();
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.Log(Decision.of(
                "registry",
                historyLost ? "history lost" : "feed broken",
                Input.of("reason", reason),
                Input.of("revision", registry.revision().map(String::valueOf).orElse("none")))));
        if (historyLost) {
            builder.add(new Effect.ReadStore());
            return builder.outcome(registry.withoutRevision());
        }
        final Duration pause = board.serving().site().isRelayed()
                ? RelayPolicy.pause(board, RETRY_INTERVAL, SITE_WATCHES_PER_SECOND, now)
                : RETRY_INTERVAL;
        builder.add(new Effect.StartTimer(new TimerKey.StoreWatch(), now.plus(pause)));
        return builder.outcome(registry);
    }

    private static Outcome<RegistrySection> resumeWatch(final Blackboard board, final Instant now) {
        final RegistrySection registry = board.serving().registry();
        final OutcomeBuilder builder = new OutcomeBuilder();
        if (board.serving().store().isOutdated(registry.readAt())
                && !board.serving().store().isOutdated(now)) {
            builder.add(new Effect.ReadStore());
            return builder.outcome(registry);
        }
        if (registry.revision().isPresent() && !RelayPolicy.readsStore(board, now)) {
            builder.add(new Effect.StartTimer(new TimerKey.StoreWatch(), now.plus(RELAYED_WATCH_INTERVAL)));
            return builder.outcome(registry);
        }
        builder.add(registry.revision()
                .<Effect>map(revision -> new Effect.AwaitStoreChanges(revision, WATCH_TIMEOUT))
                .orElseGet(Effect.ReadStore::new));
        return builder.outcome(registry);
    }

    private static RegistrySection apply(
            final Blackboard board,
            final RegistrySection registry,
            final List<StoreChange> changes,
            final StoreRevision revision,
            final Instant now,
            final OutcomeBuilder builder) {
        RegistrySection next = registry;
        for (final StoreChange change : changes) {
            next = switch (change) {
                case StoreChange.UpstreamRegistered(RegisteredUpstream upstream) ->
                    withRegistered(board, next, upstream, revision, now, builder);
                case StoreChange.UpstreamUnregistered(UpstreamName name) -> {
                    builder.add(new Effect.Log(Decision.of(
                            "upstream",
                            "missing",
                            Input.of("upstream", name),
                            Input.of("revision", revision),
                            Input.of("known_revision", registry.revision().orElse(StoreRevision.NONE)))));
                    yield withMissing(next, name, now);
                }
                default -> next;
            };
        }
        return next;
    }

    private static RegistrySection withRegistered(
            final Blackboard board,
            final RegistrySection registry,
            final RegisteredUpstream written,
            final StoreRevision revision,
            final Instant now,
            final OutcomeBuilder builder) {
        final Entry known = registry.upstreams().get(written.name());
        final boolean earlier = board.serving().store().isOutdated(now)
                && known != null
                && known.upstream().draining()
                && known.upstream().startedAtMillis() == written.startedAtMillis();
        // The copy may hold an entry from before the upstream announced that it leaves.
        final RegisteredUpstream upstream = earlier ? known.upstream() : written;
        if (known == null || !known.upstream().equals(upstream)) {
            builder.add(new Effect.Log(Decision.of(
                    "upstream",
                    upstream.draining() ? "draining" : "seen",
                    Input.of("upstream", upstream.name()),
                    Input.of("role", upstream.role()),
                    Input.of("address", upstream.address()),
                    Input.of("cold_ms", upstream.coldFor().toMillis()),
                    Input.of("revision", revision),
                    Input.of("known_revision", registry.revision().orElse(StoreRevision.NONE)))));
        }
        return registry.with(new Entry(upstream, Optional.empty()));
    }

    private static RegistrySection withMissing(
            final RegistrySection registry, final UpstreamName name, final Instant now) {
        final Entry known = registry.upstreams().get(name);
        if (known == null || known.missingSince().isPresent()) {
            return registry;
        }
        return registry.with(new Entry(known.upstream(), Optional.of(now)));
    }

    private static RegistrySection withoutExpired(final RegistrySection registry, final Instant now) {
        RegistrySection next = registry;
        for (final Map.Entry<UpstreamName, Entry> known : registry.upstreams().entrySet()) {
            if (!isRetained(known.getValue(), now)) {
                next = next.without(known.getKey());
            }
        }
        return next;
    }

    private static boolean isRetained(final Entry entry, final Instant now) {
        return entry.missingSince()
                .map(since -> since.plus(MISSING_RETENTION).isAfter(now))
                .orElse(true);
    }

    /**
     * Returns whether an upstream counts as registered. One whose entry has disappeared has left, unless the entries of
     * most upstreams of its service have: then leases have lapsed with the store, and those that are alive return.
     *
     * @param registry the registry, not null
     * @param entry the entry of the upstream, not null
     * @param now the present time, not null
     * @return true if the entry is present, or has probably lapsed within the retention period
     */
    static boolean isRegistered(final RegistrySection registry, final Entry entry, final Instant now) {
        return entry.missingSince().isEmpty()
                || isRetained(entry, now)
                        && haveMostLapsed(registry, entry.upstream().service());
    }

    private static boolean haveMostLapsed(final RegistrySection registry, final ServiceName service) {
        int known = 0;
        int missing = 0;
        for (final UpstreamRole role : UpstreamRole.values()) {
            for (final UpstreamName name : registry.pool(service, role)) {
                known++;
                missing += registry.upstreams().get(name).missingSince().isPresent() ? 1 : 0;
            }
        }
        return 2 * missing > known;
    }
}
