package org.lacewingstep.domain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.lacewingstep.error.Validate;

/**
 * The list of members agreed on by all instances, changed only by compare-and-swap in the store.
 *
 * @param epoch the number of roster changes so far, zero or more
 * @param members the members sorted by name, not null
 * @param failureDomains all failure domains that have ever had a member, sorted, not null
 */
public record Roster(long epoch, List<Member> members, List<FailureDomainName> failureDomains) {
    /** The empty roster that exists before the first member joins. */
    public static final Roster EMPTY = new Roster(0, List.of(), List.of());

    /** Validates the epoch and sorts the members and the failure domains. */
    public Roster {
        Validate.notNegative(epoch, "epoch");
        members = members.stream().sorted(Comparator.comparing(Member::name)).toList();
        failureDomains = failureDomains.stream().distinct().sorted().toList();
    }

    /**
     * Returns whether a process is a member.
     *
     * @param incarnation the process, not null
     * @return true if the process is listed
     */
    public boolean contains(final Incarnation incarnation) {
        return members.stream().anyMatch(member -> member.incarnation().equals(incarnation));
    }

    /**
     * Finds a member by the name of its instance.
     *
     * @param name the name of the instance, not null
     * @return the member, empty if the instance is not a member
     */
    public Optional<Member> find(final InstanceName name) {
        return members.stream().filter(member -> member.name().equals(name)).findFirst();
    }

    /**
     * Adds a member and removes any earlier process of the same instance.
     *
     * @param member the member to add, not null
     * @return the next roster, never null
     */
    public Roster withMember(final Member member) {
        final List<Member> others = members.stream()
                .filter(other -> !other.name().equals(member.name()))
                .toList();
        final List<Member> newMembers = new ArrayList<>(others);
        newMembers.add(member);
        final List<FailureDomainName> newFailureDomains = new ArrayList<>(failureDomains);
        newFailureDomains.add(member.failureDomain());
        return new Roster(epoch + 1, newMembers, newFailureDomains);
    }

    /**
     * Removes a process from the members; its failure domain stays listed.
     *
     * @param incarnation the process, not null
     * @return the next roster, never null
     */
    public Roster withoutProcess(final Incarnation incarnation) {
        return new Roster(
                epoch + 1,
                members.stream()
                        .filter(member -> !member.incarnation().equals(incarnation))
                        .toList(),
                failureDomains);
    }
}
