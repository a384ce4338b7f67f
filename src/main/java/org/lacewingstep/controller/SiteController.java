package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Decision;
import org.lacewingstep.blackboard.Decision.Input;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.SiteSection;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.SitePolicy;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Keeps this instance present in the store and counts the instances beside it. */
public final class SiteController implements Controller<SiteSection> {
    /** Life of the lease; longer than an instance without the store serves keyed requests. */
    static final Duration LEASE_LIFE = Duration.ofSeconds(10);

    /** Time between renewals: two may be lost before the lease lapses. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(3);

    /** Time until a failed renewal is tried again. */
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
            case Event.TimerFired(TimerKey.Presence()) -> renew(board, now);
            case Event.PresenceRenewed(long lease) -> Outcome.of(withLease(site, lease));
            case Event.PresenceUnrenewed(boolean lapsed) -> retry(lapsed ? withLease(site, 0) : site, now);
            case Event.StoreRead(var content, long revision, var askedAt) ->
                Outcome.of(withPresent(site, apply(HashTreePMap.empty(), content)));
            case Event.StoreChanged(var changes, long revision) ->
                Outcome.of(withPresent(site, apply(site.present(), changes)));
            default -> Outcome.of(site);
        };
    }

    private static Outcome<SiteSection> configure(
            final Blackboard board, final SitePolicy policy, final boolean firstStart) {
        final SiteSection site = board.serving().site();
        final Draft draft = new Draft();
        draft.add(new Event.TimerFired(new TimerKey.Presence()));
        draft.add(new Effect.Log(
                Decision.of("settings", "in force", Input.of("failure_domain", policy.failureDomain()))));
        return draft.outcome(new SiteSection(Optional.of(policy), firstStart, site.present(), site.lease()));
    }

    private static Outcome<SiteSection> reload(final SiteSection site, final SitePolicy policy) {
        final Draft draft = new Draft();
        draft.add(new Effect.Log(
                Decision.of("settings", "reloaded", Input.of("failure_domain", policy.failureDomain()))));
        return draft.outcome(new SiteSection(Optional.of(policy), site.firstStart(), site.present(), site.lease()));
    }

    private static Outcome<SiteSection> renew(final Blackboard board, final Instant now) {
        final SiteSection site = board.serving().site();
        final Draft draft = new Draft();
        draft.add(new Effect.RenewPresence(board.identity().member(), site.lease(), LEASE_LIFE));
        draft.add(new Effect.StartTimer(new TimerKey.Presence(), now.plus(RENEWAL_INTERVAL)));
        return draft.outcome(site);
    }

    /** A store that refuses at once must not be asked again at once. */
    private static Outcome<SiteSection> retry(final SiteSection site, final Instant now) {
        final Draft draft = new Draft();
        draft.add(new Effect.StartTimer(new TimerKey.Presence(), now.plus(RETRY_INTERVAL)));
        return draft.outcome(site);
    }

    private static PMap<InstanceName, Member> apply(
            final PMap<InstanceName, Member> present, final List<StoreChange> changes) {
        PMap<InstanceName, Member> next = present;
        for (final StoreChange change : changes) {
            next = switch (change) {
                case StoreChange.InstancePresent(Member member) -> next.plus(member.name(), member);
                case StoreChange.InstanceMissing(InstanceName instance) -> next.minus(instance);
                default -> next;
            };
        }
        return next;
    }

    private static SiteSection withLease(final SiteSection site, final long lease) {
        return new SiteSection(site.policy(), site.firstStart(), site.present(), lease);
    }

    private static SiteSection withPresent(final SiteSection site, final PMap<InstanceName, Member> present) {
        return new SiteSection(site.policy(), site.firstStart(), present, site.lease());
    }
}
