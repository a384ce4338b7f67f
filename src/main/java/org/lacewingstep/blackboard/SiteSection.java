package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.SitePolicy;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The site policy and the instances that are registered at the platform.
 *
 * @param policy the policy of the site, empty if this process does not serve calls by the platform's registry
 * @param firstStart whether the whole site started together with this process
 * @param present the instances that share the limits of the site, including this one, not null
 * @param unlisted the instances among them that the store no longer lists, and since when, not null
 * @param lease the identifier of the lease under which this instance is registered, zero for none
 */
public record SiteSection(
        Optional<SitePolicy> policy,
        boolean firstStart,
        PMap<InstanceName, Member> present,
        PMap<InstanceName, Instant> unlisted,
        long lease)
        implements ServingSection {
    /** Minimum time for which changes are collected before a report to the other instances. */
    private static final Duration MIN_BROADCAST_DELAY = Duration.ofMillis(50);

    /**
     * Interval of reports while nothing changes. A missing report shows that an instance is cut off.
     */
    public static final Duration BROADCAST_INTERVAL = Duration.ofSeconds(1);

    /** Time for which changes are collected before a report on a site with relays, and its longest interval. */
    private static final Duration RELAYED_BROADCAST_DELAY = Duration.ofMillis(500);

    /** Usual time until all instances know of a notable change, by a report without the usual delay. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(80);

    /** The same on a site with relays: three waits for changes that are sent together, and the way. */
    private static final Duration RELAYED_REPORT_DELAY = Duration.ofMillis(300);

    /** Most instances that each read the store and report to each other; larger sites have relays. */
    private static final int MAX_INSTANCES_WITHOUT_RELAYS = 16;

    /** The initial section of a process. */
    public static final SiteSection INITIAL =
            new SiteSection(Optional.empty(), false, HashTreePMap.empty(), HashTreePMap.empty(), 0);

    /**
     * Counts the instances that share the limits of the site.
     *
     * @return the number of instances, at least one
     */
    public int instances() {
        return Math.max(1, present.size());
    }

    /**
     * Computes the time between two operations of this instance, given a rate limit for all instances together.
     *
     * @param perSecond the operations per second of all instances together, positive
     * @return the time between two operations, never null
     */
    public Duration intervalFor(final int perSecond) {
        return Duration.ofSeconds(instances()).dividedBy(perSecond);
    }

    /**
     * Returns whether some instances read the store and pass reports on for the others.
     *
     * @return true if the site is large
     */
    public boolean isRelayed() {
        return instances() > MAX_INSTANCES_WITHOUT_RELAYS;
    }

    /**
     * Computes the delay between a change and the report of the change to the other instances.
     *
     * @return the delay, never null
     */
    public Duration broadcastDelay() {
        return isRelayed() ? RELAYED_BROADCAST_DELAY : MIN_BROADCAST_DELAY;
    }

    /**
     * Returns the delay after which a notable change is reported or passed on, without the delay of other changes.
     *
     * @return the delay, never null
     */
    public Duration shortDelay() {
        return MIN_BROADCAST_DELAY;
    }

    /**
     * Returns the usual time until all instances know of a notable change at one of them.
     *
     * @return the time, never null
     */
    public Duration reportDelay() {
        return isRelayed() ? RELAYED_REPORT_DELAY : REPORT_DELAY;
    }

    /**
     * Computes the time without a report after which an instance counts as cut off.
     *
     * @return two and a half report intervals, and half an interval more for the way over relays, never null
     */
    public Duration peerTimeout() {
        return isRelayed()
                ? BROADCAST_INTERVAL.multipliedBy(3)
                : BROADCAST_INTERVAL.multipliedBy(5).dividedBy(2);
    }

    /**
     * Lists the registered instances other than this one.
     *
     * @return the instances, never null
     */
    public List<Member> others() {
        return present.values().stream()
                .filter(member -> !member.name().equals(bounds().instance()))
                .toList();
    }

    /**
     * Returns the policy of the site.
     *
     * @return the policy, never null
     * @throws java.util.NoSuchElementException if this process does not serve calls by the platform's registry
     */
    public SitePolicy bounds() {
        return policy.orElseThrow();
    }
}
