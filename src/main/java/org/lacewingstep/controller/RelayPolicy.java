package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.google.common.hash.Hashing;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Member;

/**
 * Decides which instances of a large site read the platform's store for the others of their failure domain, so that the
 * calls to the store grow with the failure domains and not with the instances.
 */
final class RelayPolicy {
    /**
     * Time without an answer of any relay after which an instance reads the store itself; longer than two intervals at
     * which a relay confirms the routing table.
     */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(2600);

    /** Time after the last query of another instance for which an instance that ranks lower stays a relay. */
    private static final Duration RELAY_PERIOD = Duration.ofSeconds(3);

    private static final Comparator<RankedMember> RANK_ORDER = Comparator.comparingInt(RankedMember::hash)
            .thenComparing(ranked -> ranked.member().name().value());

    private RelayPolicy() {}

    /**
     * Ranks the registered instances of a failure domain as relays; all instances compute the same order.
     *
     * @param board the blackboard, not null
     * @param domain the failure domain, not null
     * @return the instances, the first one is the relay unless it does not answer, never null
     */
    static List<Member> ranking(final Blackboard board, final FailureDomainName domain) {
        return board.serving().site().present().values().stream()
                .filter(member -> member.failureDomain().equals(domain))
                .map(RankedMember::of)
                .sorted(RANK_ORDER)
                .map(RankedMember::member)
                .toList();
    }

    /**
     * Returns whether this instance passes on the store's changes and the load reports of its failure domain.
     *
     * @param board the blackboard, not null
     * @param now the present time, not null
     * @return true if the site has relays and this instance ranks first or has recently received a query
     */
    static boolean isRelay(final Blackboard board, final Instant now) {
        if (!board.serving().site().isRelayed()) {
            return false;
        }
        return board.serving().relay().lastQueryAt().plus(RELAY_PERIOD).isAfter(now)
                || first(board, ownDomain(board))
                        .filter(member ->
                                member.name().equals(board.identity().member().name()))
                        .isPresent();
    }

    /**
     * Finds the instance of a failure domain that ranks first as a relay.
     *
     * @param board the blackboard, not null
     * @param domain the failure domain, not null
     * @return the instance, empty if none of the failure domain is registered
     */
    static Optional<Member> first(final Blackboard board, final FailureDomainName domain) {
        return board.serving().site().present().values().stream()
                .filter(member -> member.failureDomain().equals(domain))
                .map(RankedMember::of)
                .min(RANK_ORDER)
                .map(RankedMember::member);
    }

    /**
     * Returns whether this instance calls the store itself.
     *
     * @param board the blackboard, not null
     * @param now the present time, not null
     * @return true if the site has no relays, or this instance is a relay, or no relay answers
     */
    static boolean readsStore(final Blackboard board, final Instant now) {
        return !board.serving().site().isRelayed()
                || isRelay(board, now)
                || !board.serving().relay().answeredAt().plus(ANSWER_TIMEOUT).isAfter(now);
    }

    /**
     * Computes the pause before this instance calls the store again for one purpose.
     *
     * @param board the blackboard, not null
     * @param relayPause the pause of a relay, not null
     * @param perSecond the calls per second of all instances together, by which the others are paced
     * @param now the present time, not null
     * @return the pause, never null
     */
    static Duration pause(final Blackboard board, final Duration relayPause, final int perSecond, final Instant now) {
        final Duration paced = board.serving().site().intervalFor(perSecond);
        return isRelay(board, now) || board.serving().site().isRelayed() && paced.compareTo(relayPause) < 0
                ? relayPause
                : paced;
    }

    /**
     * Finds the relay to which this instance sends its queries and load reports.
     *
     * @param board the blackboard, not null
     * @param rank the rank of the relay among the other instances of the failure domain, from zero
     * @return the relay, empty if this instance is the only one of its failure domain
     */
    static Optional<Member> relayOfRank(final Blackboard board, final int rank) {
        final List<Member> others = ranking(board, ownDomain(board)).stream()
                .filter(member ->
                        !member.name().equals(board.identity().member().name()))
                .toList();
        return others.isEmpty() ? Optional.empty() : Optional.of(others.get(rank % others.size()));
    }

    /**
     * Returns the failure domain of this instance.
     *
     * @param board the blackboard, not null
     * @return the failure domain, never null
     */
    static FailureDomainName ownDomain(final Blackboard board) {
        return board.identity().member().failureDomain();
    }

    private record RankedMember(Member member, int hash) {
        private static RankedMember of(final Member member) {
            return new RankedMember(
                    member,
                    Hashing.murmur3_32()
                            .hashUnencodedChars(member.name().value())
                            .asInt());
        }
    }
}
