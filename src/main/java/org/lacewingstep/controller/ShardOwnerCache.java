package org.lacewingstep.controller;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.blackboard.MembershipSection;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.Shard;

/** Caches the shard owners that were determined during one controller step. */
final class ShardOwnerCache {
    private final Map<Shard, Optional<Member>> owners = new HashMap<>();
    private final MembershipSection membership;

    /**
     * Creates an empty cache.
     *
     * @param membership the membership whose roster determines the shard owners, not null
     */
    ShardOwnerCache(final MembershipSection membership) {
        this.membership = membership;
    }

    /**
     * Finds the owner of a shard.
     *
     * @param shard the shard, not null
     * @return the shard owner, empty while the roster is empty
     */
    Optional<Member> shardOwner(final Shard shard) {
        return owners.computeIfAbsent(shard, membership::shardOwner);
    }
}
