package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.LifecycleSection.Stage;
import org.lacewingstep.blackboard.MembershipSection;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.Roster;

/** Decides which change of the roster this process should write. */
final class RosterPolicy {
    /** Delay between the writes of consecutive members, so that they do not race to write the same removal. */
    private static final Duration STAGGER = Duration.ofMillis(500);

    private RosterPolicy() {}

    /**
     * Computes the roster that this process should write now.
     *
     * @param board the blackboard, not null
     * @param section the membership, not null
     * @param now the present time, not null
     * @return the next roster, empty if no change is due
     */
    static Optional<Roster> nextRoster(final Blackboard board, final MembershipSection section, final Instant now) {
        final Member self = board.identity().member();
        final boolean isMember = section.roster().contains(self.incarnation());
        if (isLeaving(board)) {
            return isMember ? Optional.of(section.roster().withoutProcess(self.incarnation())) : Optional.empty();
        }
        if (section.status().leaseIdentifier() == 0) {
            return Optional.empty();
        }
        if (!isMember) {
            return mayJoin(section, self) ? Optional.of(section.roster().withMember(self)) : Optional.empty();
        }
        if (!section.status().isLeaseUnbroken(now)) {
            return Optional.of(section.roster().withMember(self));
        }
        return removeMissing(board, section, now);
    }

    private static boolean isLeaving(final Blackboard board) {
        final Stage stage = board.lifecycle().stage();
        return stage instanceof Stage.Leaving || stage instanceof Stage.Stopped;
    }

    /**
     * Checks whether this process may join. The leases must have been read, and an earlier process of the same instance
     * is replaced only if both have the same address.
     */
    private static boolean mayJoin(final MembershipSection section, final Member self) {
        if (section.platformView().leases().isEmpty()) {
            return false;
        }
        return section.roster()
                .find(self.name())
                .filter(earlier -> !earlier.address().equals(self.address()))
                .isEmpty();
    }

    private static Optional<Roster> removeMissing(
            final Blackboard board, final MembershipSection section, final Instant now) {
        final Duration delay = board.identity().policy().removalDelay().plus(stagger(board, section));
        Roster next = section.roster();
        for (final Member other : section.others(board.identity().incarnation())) {
            final Instant since = section.platformView().missing().get(other.incarnation());
            if (since != null && now.isAfter(since.plus(delay))) {
                next = next.withoutProcess(other.incarnation());
            }
        }
        return next.equals(section.roster()) ? Optional.empty() : Optional.of(next);
    }

    private static Duration stagger(final Blackboard board, final MembershipSection section) {
        final Incarnation self = board.identity().incarnation();
        final long rank = section.roster().members().stream()
                .map(Member::incarnation)
                .filter(process -> !section.platformView().missing().containsKey(process))
                .takeWhile(process -> !process.equals(self))
                .count();
        return STAGGER.multipliedBy(rank);
    }
}
