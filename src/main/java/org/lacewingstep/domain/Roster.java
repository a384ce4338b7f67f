package org.lacewingstep.domain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.lacewingstep.error.Validate;

/**
 * The agreed list of members; changed by compare-and-swap only.
 *
 * @param epoch the number of changes so far, zero or more
 * @param members the members sorted by name, not null
 * @param failureDomains every failure domain that a member was ever in, sorted, not null
 */
public record Roster(long epoch, List<Member> members, List<FailureDomainName> failureDomains) {
    /** The roster before the first member joined. */
    public static final Roster EMPTY = new Roster(0, List.of(), List.of());

    /** Checks the epoch and sorts the members. */
    public Roster {
        Validate.notNegative(epoch, "epoch");
        members = members.stream().sorted(Comparator.comparing(Member::name)).toList();
        failureDomains = failureDomains.stream().distinct().sorted().toList();
    }

    /**
     * Tells whether a process is a member.
     *
     * @param incarnation the process, not null
     * @return true if it is listed
     */
    public boolean contains(final Incarnation incarnation) {
        return members.stream().anyMatch(member -> member.incarnation().equals(incarnation));
    }

    /**
     * Finds a member by the name of its instance.
     *
     * @param name the name, not null
     * @return the member, empty if there is none
     */
    public Optional<Member> find(final InstanceName name) {
        return members.stream().filter(member -> member.name().equals(name)).findFirst();
    }

    /**
     * Adds a member in place of earlier processes of the same instance.
     *
     * @param member the member, not null
     * @return the next roster, never null
     */
    public Roster with(final Member member) {
        final List<Member> others = members.stream()
                .filter(other -> !other.name().equals(member.name()))
                .toList();
        final List<Member> next = new ArrayList<>(others);
        next.add(member);
        final List<FailureDomainName> domains = new ArrayList<>(failureDomains);
        domains.add(member.failureDomain());
        return new Roster(epoch + 1, next, domains);
    }

    /**
     * Removes one process.
     *
     * @param incarnation the process, not null
     * @return the next roster, never null
     */
    public Roster without(final Incarnation incarnation) {
        return new Roster(
                epoch + 1,
                members.stream()
                        .filter(member -> !member.incarnation().equals(incarnation))
                        .toList(),
                failureDomains);
    }
}
