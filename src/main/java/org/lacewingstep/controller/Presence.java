package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.blackboard.AllowanceSection.PeerSpending;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.SiteSection;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Decides which instances share the limits of the site. An instance that the store no longer lists still shares them
 * while it reports: the store loses the entries of all instances when it is away for longer than their leases last.
 */
final class Presence {
    /**
     * How long an instance that hears from no other, or that the store itself does not list, still counts those that it
     * knew: it may be the one that is cut off, and the others may go on.
     */
    private static final Duration ISOLATED_RETENTION = Duration.ofSeconds(60);

    private Presence() {}

    /**
     * Applies a complete reading of the store.
     *
     * @param site the section before, not null
     * @param content the content of the store, not null
     * @param now the present time, not null
     * @return the section with all listed instances, and with the others marked as not listed, never null
     */
    static SiteSection read(final SiteSection site, final List<StoreChange> content, final Instant now) {
        final Map<InstanceName, Instant> unlisted = new HashMap<>();
        site.present()
                .keySet()
                .forEach(name -> unlisted.put(name, site.unlisted().getOrDefault(name, now)));
        return change(with(site, site.present(), HashTreePMap.from(unlisted)), content, now);
    }

    /**
     * Applies changes of the store.
     *
     * @param site the section before, not null
     * @param changes the changes in order, not null
     * @param now the present time, not null
     * @return the section after, in which removed instances are marked as not listed, never null
     */
    static SiteSection change(final SiteSection site, final List<StoreChange> changes, final Instant now) {
        PMap<InstanceName, Member> present = site.present();
        PMap<InstanceName, Instant> unlisted = site.unlisted();
        for (final StoreChange change : changes) {
            switch (change) {
                case StoreChange.InstanceRegistered(Member member) -> {
                    present = present.plus(member.name(), member);
                    unlisted = unlisted.minus(member.name());
                }
                case StoreChange.InstanceUnregistered(InstanceName instance) ->
                    unlisted = present.containsKey(instance) ? unlisted.plus(instance, now) : unlisted;
                default -> {}
            }
        }
        return with(site, present, unlisted);
    }

    /**
     * Removes the instances that are gone: the store does not list them and they no longer report.
     *
     * @param board the blackboard, not null
     * @param site the section, not null
     * @param now the present time, not null
     * @return the section without these instances, never null
     */
    static SiteSection withoutGone(final Blackboard board, final SiteSection site, final Instant now) {
        if (site.unlisted().isEmpty()) {
            return site;
        }
        final InstanceName self = board.identity().name();
        final boolean listed =
                site.present().containsKey(self) && !site.unlisted().containsKey(self);
        final boolean inTouch = listed
                && site.present().keySet().stream()
                        .anyMatch(name -> !name.equals(self)
                                && silence(board, name, now)
                                        .filter(silence -> silence.compareTo(site.peerTimeout()) < 0)
                                        .isPresent());
        final Duration retention = inTouch ? site.peerTimeout() : ISOLATED_RETENTION;
        PMap<InstanceName, Member> present = site.present();
        PMap<InstanceName, Instant> unlisted = site.unlisted();
        for (final Map.Entry<InstanceName, Instant> entry : site.unlisted().entrySet()) {
            final InstanceName name = entry.getKey();
            final Optional<Duration> silence = silence(board, name, now);
            final boolean gone = silence.isPresent()
                    ? silence.get().compareTo(retention) >= 0
                    : listed || entry.getValue().plus(retention).isBefore(now);
            if (!name.equals(self) && gone) {
                present = present.minus(name);
                unlisted = unlisted.minus(name);
            }
        }
        return with(site, present, unlisted);
    }

    /** Computes the time since the last report of an instance, empty if it has never reported. */
    private static Optional<Duration> silence(final Blackboard board, final InstanceName name, final Instant now) {
        return Optional.ofNullable(board.serving().allowances().peers().get(name))
                .map(PeerSpending::at)
                .map(at -> Duration.between(at, now));
    }

    private static SiteSection with(
            final SiteSection site,
            final PMap<InstanceName, Member> present,
            final PMap<InstanceName, Instant> unlisted) {
        return new SiteSection(site.policy(), site.firstStart(), present, unlisted, site.lease());
    }
}
