package org.lacewingstep.controller;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.blackboard.MembershipSection;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.Shard;

/** Remembers the homes found during one decision. */
final class HomeTable {
    private final Map<Shard, Optional<Member>> homes = new HashMap<>();
    private final MembershipSection membership;

    /**
     * Creates a table.
     *
     * @param membership the membership, not null
     */
    HomeTable(final MembershipSection membership) {
        this.membership = membership;
    }

    /**
     * Finds the home of a shard.
     *
     * @param shard the shard, not null
     * @return the home, empty while the roster is empty
     */
    Optional<Member> home(final Shard shard) {
        return homes.computeIfAbsent(shard, membership::home);
    }
}
