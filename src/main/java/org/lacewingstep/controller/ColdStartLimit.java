package org.lacewingstep.controller;

import java.time.Instant;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.ServiceLimits;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.placement.UpstreamDraw;

/**
 * Decides whether an upstream bears another request if it is cold. All instances together keep to the rate that a cold
 * upstream bears also at a warm one, since an upstream may turn cold before its registry entry says so.
 *
 * <p>An instance always has its share of that rate, or turns where the share is below one request. At a warm upstream
 * it needs neither while the reports of the others show that the requests of all come nowhere near the rate; otherwise
 * calls would wait for turns that they do not need, the longer the more instances there are.
 */
final class ColdStartLimit {
    /**
     * Fraction of the rate up to which a warm upstream receives requests without a share or turn: should it turn cold
     * unnoticed, the requests of the following second still stay below the rate.
     */
    private static final double SPARE_FRACTION = 0.3;

    /** Upstreams of a role from which the requests of a site spread so widely that none receives many at once. */
    private static final int MIN_ALTERNATIVES = 8;

    /**
     * Fraction of the rate that the most requested of fewer upstreams may reach if requests still count as spread: they
     * may grow to two and a half times as many before reports show it.
     */
    private static final double SPREAD_FRACTION = 0.4;

    private ColdStartLimit() {}

    /**
     * Returns whether the requests of all instances spread over some upstreams so that none receives as many in a
     * second as a cold one bears.
     *
     * @param board the blackboard, not null
     * @param service the service of the upstreams, not null
     * @param draw the upstreams to choose from, not null
     * @param now the present time, not null
     * @return true if a warm upstream among them may receive requests without a share or turn
     */
    static boolean isSpread(
            final Blackboard board, final ServiceName service, final UpstreamDraw draw, final Instant now) {
        if (draw.alternatives() >= MIN_ALTERNATIVES) {
            return true;
        }
        final ServiceLimits limits =
                board.serving().routing().table().services().get(service);
        if (limits == null || !UpstreamChoice.isLargeSite(board)) {
            return false;
        }
        long arrivals = 0;
        for (int i = 0; i < draw.size(); i++) {
            arrivals += arrivals(
                    board,
                    board.serving().registry().upstreams().get(draw.get(i)).upstream(),
                    now);
        }
        // An upstream that is the cheaper one of each pair that contains it receives this part of all requests.
        final double most = (double) arrivals * UpstreamChoice.RANDOM_CANDIDATES / draw.alternatives();
        return most < SPREAD_FRACTION * AllowanceShare.coldSiteLimit(board, limits.coldRequestsPerSecond());
    }

    /**
     * Returns whether an upstream may receive another request.
     *
     * @param board the blackboard, not null
     * @param upstream the upstream, not null
     * @param spread whether requests spread over the upstreams of its role, see {@link #isSpread}
     * @param now the present time, not null
     * @return true if the request may be sent
     */
    static boolean permits(
            final Blackboard board, final RegisteredUpstream upstream, final boolean spread, final Instant now) {
        final ServiceLimits service =
                board.serving().routing().table().services().get(upstream.service());
        if (service == null || service.coldRequestsPerSecond() <= 0) {
            return true;
        }
        final double rate = service.coldRequestsPerSecond();
        final long own = UpstreamCost.load(board, upstream).recentArrivals(now);
        if (own < AllowanceShare.coldRequestLimit(board, upstream.name(), rate, now)) {
            return true;
        }
        return upstream.coldFor().isZero()
                && spread
                && arrivals(board, upstream, now) < SPARE_FRACTION * AllowanceShare.coldSiteLimit(board, rate);
    }

    /** Counts the requests of all instances in the last second, as far as they are reported. */
    private static long arrivals(final Blackboard board, final RegisteredUpstream upstream, final Instant now) {
        return UpstreamCost.load(board, upstream).recentArrivals(now)
                + board.serving().use(upstream.name(), now).arrivals();
    }
}
