package org.lacewingstep.domain;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.google.common.hash.Hashing;

/**
 * Chooses the home of a shard by rendezvous hashing over the roster.
 *
 * <p>The slots of one range of teams have homes in different failure domains: each failure domain is ranked for the
 * range and serves one slot only. So the death of one slot's home leaves the other slots where they are. Failure
 * domains without members keep their rank. A slot whose failure domains have no member falls back to all members.
 */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Finds the home of a shard.
     *
     * @param shard the shard, not null
     * @param roster the roster, not null
     * @return the member, empty if the roster is empty
     */
    public static Optional<Member> home(final Shard shard, final Roster roster) {
        return switch (shard) {
            case Shard.TeamShard(int range, int slot) -> slotHome(shard.label(), slot, roster);
            case Shard.CellShard(CellName cell) -> first(shard.label(), roster.members());
        };
    }

    private static Optional<Member> slotHome(final String label, final int slot, final Roster roster) {
        final List<FailureDomainName> ranked = roster.failureDomains().stream()
                .sorted(Comparator.comparingLong((FailureDomainName domain) -> weight(label, domain.value()))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
        final List<Member> own = roster.members().stream()
                .filter(member -> ranked.indexOf(member.failureDomain()) % TeamRange.SLOTS == slot)
                .toList();
        return first(label, own).or(() -> first(label + "/" + slot, roster.members()));
    }

    private static Optional<Member> first(final String label, final List<Member> members) {
        return members.stream()
                .min(Comparator.comparingLong(
                                (Member member) -> weight(label, member.name().value()))
                        .thenComparing(Member::name));
    }

    private static long weight(final String label, final String name) {
        return Hashing.murmur3_128()
                .newHasher()
                .putUnencodedChars(label)
                .putChar('@')
                .putUnencodedChars(name)
                .hash()
                .asLong();
    }
}
