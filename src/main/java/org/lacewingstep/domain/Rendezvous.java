package org.lacewingstep.domain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.google.common.hash.Hashing;

/** Chooses the home of a shard by rendezvous hashing over the roster. */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Finds the home of a shard; shards of one label get homes in different failure domains while there are enough,
     * then different members while there are enough.
     *
     * @param shard the shard, not null
     * @param roster the roster, not null
     * @return the member, empty if the roster is empty
     */
    public static Optional<Member> home(final Shard shard, final Roster roster) {
        final List<Member> candidates = new ArrayList<>(roster.members());
        final String label = shard.label();
        candidates.sort(Comparator.comparingLong((Member member) -> weight(label, member.name()))
                .thenComparing(Member::name));
        Optional<Member> chosen = Optional.empty();
        final List<Member> taken = new ArrayList<>();
        for (int rank = 0; rank <= shard.rank(); rank++) {
            chosen = next(candidates, taken);
            chosen.ifPresent(taken::add);
        }
        return chosen;
    }

    private static Optional<Member> next(final List<Member> candidates, final List<Member> taken) {
        final Optional<Member> elsewhere = candidates.stream()
                .filter(candidate -> taken.stream()
                        .noneMatch(member -> member.failureDomain().equals(candidate.failureDomain())))
                .findFirst();
        if (elsewhere.isPresent()) {
            return elsewhere;
        }
        final Optional<Member> other = candidates.stream()
                .filter(candidate -> !taken.contains(candidate))
                .findFirst();
        return other.isPresent() ? other : candidates.stream().findFirst();
    }

    private static long weight(final String label, final InstanceName name) {
        return Hashing.murmur3_128()
                .newHasher()
                .putUnencodedChars(label)
                .putChar('@')
                .putUnencodedChars(name.value())
                .hash()
                .asLong();
    }
}
