package org.lacewingstep.domain;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.google.common.hash.Hashing;

/**
 * Chooses the owner of a shard by rendezvous hashing over the members of the roster.
 *
 * <p>The slots of one range of teams have owners in different failure domains: the failure domains are ranked for each
 * range, and the rank assigns each failure domain to exactly one slot. The failure of one slot's owner therefore moves
 * no other slot. Failure domains without members keep their rank. If the failure domains of a slot have no members, the
 * owner is chosen among all members.
 */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Finds the member that owns a shard.
     *
     * @param shard the shard, not null
     * @param roster the roster, not null
     * @return the owner, empty if the roster is empty
     */
    public static Optional<Member> shardOwner(final Shard shard, final Roster roster) {
        return switch (shard) {
            case Shard.TeamShard(int range, int slot) -> slotOwner(shard.hashKey(), slot, roster);
            case Shard.CellShard(CellName cell) -> memberWithLowestHash(shard.hashKey(), roster.members());
        };
    }

    private static Optional<Member> slotOwner(final String label, final int slot, final Roster roster) {
        final List<FailureDomainName> rankedDomains = roster.failureDomains().stream()
                .sorted(Comparator.comparingLong((FailureDomainName domain) -> hash(label, domain.value()))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
        final List<Member> slotMembers = roster.members().stream()
                .filter(member -> rankedDomains.indexOf(member.failureDomain()) % TeamRange.SLOT_COUNT == slot)
                .toList();
        return memberWithLowestHash(label, slotMembers)
                .or(() -> memberWithLowestHash(label + "/" + slot, roster.members()));
    }

    private static Optional<Member> memberWithLowestHash(final String label, final List<Member> members) {
        return members.stream()
                .min(Comparator.comparingLong(
                                (Member member) -> hash(label, member.name().value()))
                        .thenComparing(Member::name));
    }

    private static long hash(final String label, final String name) {
        return Hashing.murmur3_128()
                .newHasher()
                .putUnencodedChars(label)
                .putChar('@')
                .putUnencodedChars(name)
                .hash()
                .asLong();
    }
}
