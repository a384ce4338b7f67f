package org.lacewingstep.blackboard;

import java.time.Duration;
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
 * @param present the instances whose lease is in the store, including this one, not null
 * @param lease the identifier of the lease under which this instance is registered, zero for none
 */
public record SiteSection(
        Optional<SitePolicy> policy, boolean firstStart, PMap<InstanceName, Member> present, long lease)
        implements ServingSection {
    /** Minimum time for which changes are collected before a report to the other instances. */
    private static final Duration MIN_BROADCAST_DELAY = Duration.ofMillis(50);

    /** Minimum time between two reports to another instance while nothing changes. */
    private static final Duration MIN_BROADCAST_INTERVAL = Duration.ofSeconds(1);

    /** Maximum messages per second among all instances; with 87 instances 40 for each, below a hundredth of a core. */
    private static final int MAX_MESSAGES_PER_SECOND = 3500;

    /** The initial section of a process. */
    public static final SiteSection INITIAL = new SiteSection(Optional.empty(), false, HashTreePMap.empty(), 0);

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
     * Computes the delay between a change and the report of the change to the other instances.
     *
     * @return the delay, which grows with the number of instances, never null
     */
    public Duration broadcastDelay() {
        final long messages = (long) instances() * (instances() - 1);
        return longer(MIN_BROADCAST_DELAY, Duration.ofSeconds(messages).dividedBy(MAX_MESSAGES_PER_SECOND));
    }

    /**
     * Computes the interval of reports to the other instances while nothing changes. A missing report shows that an
     * instance is cut off.
     *
     * @return the interval, never null
     */
    public Duration broadcastInterval() {
        return longer(MIN_BROADCAST_INTERVAL, broadcastDelay());
    }

    /**
     * Computes the time without a report after which an instance counts as cut off.
     *
     * @return two and a half report intervals, never null
     */
    public Duration peerTimeout() {
        return broadcastInterval().multipliedBy(5).dividedBy(2);
    }

    private static Duration longer(final Duration first, final Duration second) {
        return first.compareTo(second) > 0 ? first : second;
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
