package org.lacewingstep.controller;

import java.time.Instant;

import com.google.common.hash.Hashing;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.RegisteredUpstream;

/**
 * Divides the rate that an upstream takes from all instances together.
 *
 * <p>In each second of the clock, all instances together may send a fixed number of requests. All compute the same
 * division of it, without messages: what cannot be divided evenly goes to some instances, which take turns. Where
 * reports arrive soon, an instance that has more demand than the others sends more while the upstream gets little.
 */
final class RequestLimitShare {
    /** Requests in a second on a site with relays, per request per second; five seconds overlap with any four. */
    private static final double RATE_FACTOR = 1.2;

    /** Requests in a second on a site with relays, at any limit. */
    private static final double EXTRA_REQUESTS = 1;

    /** Part of the limit below which an instance of a site without relays may send beyond its part. */
    private static final double SPARE_FRACTION = 0.8;

    /** Instances that may do so at the same time, beside one for each request per second of the limit. */
    private static final double EXTRA_SPARE_INSTANCES = 1.2;

    /** Time in which some instances may use spare room; at its end, the others know what these have sent. */
    private static final long SPARE_TURN_MILLISECONDS = 100;

    private RequestLimitShare() {}

    /**
     * Returns whether this instance may send an upstream another request in the present second.
     *
     * @param board the blackboard, not null
     * @param upstream the upstream, not null
     * @param requestsPerSecond the rate that the upstream takes from all instances together, positive
     * @param now the present time, not null
     * @return true if this instance has sent fewer than its part in this second, or the upstream has room to spare
     */
    static boolean permitsRequest(
            final Blackboard board,
            final RegisteredUpstream upstream,
            final double requestsPerSecond,
            final Instant now) {
        return board.serving().site().isRelayed()
                ? hasPart(board, upstream, (long) (RATE_FACTOR * requestsPerSecond + EXTRA_REQUESTS), now)
                : hasPart(board, upstream, Math.max(1, Math.round(requestsPerSecond)), now)
                        || hasSpareRoom(board, upstream, requestsPerSecond, now);
    }

    private static boolean hasPart(
            final Blackboard board, final RegisteredUpstream upstream, final long all, final Instant now) {
        final long second = now.getEpochSecond();
        final long sent = UpstreamCost.load(board, upstream).arrivals().stream()
                .filter(at -> at.getEpochSecond() == second)
                .count();
        final int instances = board.serving().site().instances();
        return sent < all / instances + (hasTurn(board, upstream, second, all % instances) ? 1 : 0);
    }

    /** Returns whether all instances have sent little in the last second and this one may send more. */
    private static boolean hasSpareRoom(
            final Blackboard board,
            final RegisteredUpstream upstream,
            final double requestsPerSecond,
            final Instant now) {
        final long arrivals = UpstreamCost.load(board, upstream).recentArrivals(now)
                + board.serving().use(upstream.name(), now).arrivals();
        final long turn = now.toEpochMilli() / SPARE_TURN_MILLISECONDS;
        return arrivals < Math.max(1, Math.round(SPARE_FRACTION * requestsPerSecond))
                && hasTurn(board, upstream, turn, (long) (requestsPerSecond + EXTRA_SPARE_INSTANCES));
    }

    /** Returns whether this instance is among some that take the present one of a sequence of turns. */
    private static boolean hasTurn(
            final Blackboard board, final RegisteredUpstream upstream, final long turn, final long instancesOfTurn) {
        final long first = firstPosition(upstream) + turn * instancesOfTurn;
        return Math.floorMod(
                        position(board) - first, (long) board.serving().site().instances())
                < instancesOfTurn;
    }

    private static long firstPosition(final RegisteredUpstream upstream) {
        return Hashing.murmur3_32().hashUnencodedChars(upstream.name().value()).asInt();
    }

    /** Computes the position of this instance among all in the order of their names. */
    private static long position(final Blackboard board) {
        final InstanceName self = board.identity().name();
        return board.serving().site().present().keySet().stream()
                .filter(other -> other.value().compareTo(self.value()) < 0)
                .count();
    }
}
