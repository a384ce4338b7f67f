package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Decision;
import org.lacewingstep.blackboard.Decision.Input;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.SiteSection;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.SitePolicy;
import org.lacewingstep.domain.StoreRevision;

/** Renews the presence lease of this instance in the store and tracks which instances are present. */
public final class SiteController implements Controller<SiteSection> {
    /** Lease duration; longer than the time for which an instance without the store serves requests with keys. */
    static final Duration LEASE_DURATION = Duration.ofSeconds(10);

    /** Interval between renewals; two renewals may be lost before the lease lapses. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(3);

    /** Delay before a failed renewal is retried. */
    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

    @Override
    public Class<SiteSection> section() {
        return SiteSection.class;
    }

    @Override
    public Outcome<SiteSection> step(final Blackboard board, final Event event, final Instant now) {
        final SiteSection site = board.serving().site();
        return switch (event) {
            case Event.SiteConfigured(SitePolicy policy, boolean firstStart) -> configure(board, policy, firstStart);
            case Event.SiteReloaded(SitePolicy policy) -> reload(site, policy);
            case Event.TimerFired(TimerKey.Presence()) -> renew(board, Presence.withoutGone(board, site, now), now);
            case Event.PresenceRenewalEnded(boolean renewed, long lease) ->
                renewed ? Outcome.of(withLease(site, lease)) : retry(withLease(site, lease), now);
            case Event.StoreRead(var content, StoreRevision revision, var requestedAt) ->
                Outcome.of(Presence.withoutGone(board, Presence.read(site, content, now), now));
            case Event.StoreChanged(var changes, StoreRevision revision) ->
                Outcome.of(Presence.withoutGone(board, Presence.change(site, changes, now), now));
            case Event.StoreRestored restored -> registerAgain(board);
            default -> Outcome.of(site);
        };
    }

    private static Outcome<SiteSection> configure(
            final Blackboard board, final SitePolicy policy, final boolean firstStart) {
        final SiteSection site = board.serving().site();
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Event.TimerFired(new TimerKey.Presence()));
        builder.add(new Effect.Log(
                Decision.of("settings", "in force", Input.of("failure_domain", policy.failureDomain()))));
        return builder.outcome(
                new SiteSection(Optional.of(policy), firstStart, site.present(), site.unlisted(), site.lease()));
    }

    private static Outcome<SiteSection> reload(final SiteSection site, final SitePolicy policy) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.Log(
                Decision.of("settings", "reloaded", Input.of("failure_domain", policy.failureDomain()))));
        return builder.outcome(
                new SiteSection(Optional.of(policy), site.firstStart(), site.present(), site.unlisted(), site.lease()));
    }

    private static Outcome<SiteSection> renew(final Blackboard board, final SiteSection site, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.RenewPresence(board.identity().member(), renewedLease(board, site), LEASE_DURATION));
        builder.add(new Effect.StartTimer(new TimerKey.Presence(), now.plus(RENEWAL_INTERVAL)));
        return builder.outcome(site);
    }

    /** Registers at once under a new lease: the store gives the identifiers of lost leases out again. */
    private static Outcome<SiteSection> registerAgain(final Blackboard board) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.RenewPresence(board.identity().member(), 0, LEASE_DURATION));
        return builder.outcome(withLease(board.serving().site(), 0));
    }

    /** Takes a new lease if the store has lost the entry, which may have been written late under an earlier lease. */
    private static long renewedLease(final Blackboard board, final SiteSection site) {
        return site.unlisted().containsKey(board.identity().name()) ? 0 : site.lease();
    }

    /** Delays the next renewal, so that a store that refuses immediately is not flooded with requests. */
    private static Outcome<SiteSection> retry(final SiteSection site, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.StartTimer(new TimerKey.Presence(), now.plus(RETRY_INTERVAL)));
        return builder.outcome(site);
    }

    private static SiteSection withLease(final SiteSection site, final long lease) {
        return new SiteSection(site.policy(), site.firstStart(), site.present(), site.unlisted(), lease);
    }
}
