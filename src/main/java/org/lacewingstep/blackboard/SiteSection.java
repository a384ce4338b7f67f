package org.lacewingstep.blackboard;

import java.util.List;
import java.util.Optional;

import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.SitePolicy;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The place of this instance and the instances that serve beside it.
 *
 * @param policy the bounds of the site, empty if this process serves no registry
 * @param firstStart whether the whole site started together with this process
 * @param present the instances whose lease is in the store, this one among them, not null
 * @param lease the lease under which this instance is present, zero for none
 */
public record SiteSection(
        Optional<SitePolicy> policy, boolean firstStart, PMap<InstanceName, Member> present, long lease)
        implements ServingSection {
    /** The section of a process that starts. */
    public static final SiteSection INITIAL = new SiteSection(Optional.empty(), false, HashTreePMap.empty(), 0);

    /**
     * Counts the instances that share what the site allows.
     *
     * @return the number, at least one
     */
    public int instances() {
        return Math.max(1, present.size());
    }

    /**
     * Lists the other instances.
     *
     * @return the instances, never null
     */
    public List<Member> others() {
        return present.values().stream()
                .filter(member -> !member.name().equals(bounds().instance()))
                .toList();
    }

    /**
     * Gets the bounds of the site.
     *
     * @return the bounds, never null
     * @throws java.util.NoSuchElementException if this process serves no registry
     */
    public SitePolicy bounds() {
        return policy.orElseThrow();
    }
}
