package org.lacewingstep.rollout;

import java.time.Duration;

import org.lacewingstep.domain.RolloutBounds;
import org.lacewingstep.domain.RolloutPlan.Tally;

/**
 * Computes the share of a service's requests that each instance sends to a version before it is judged.
 *
 * <p>Every instance draws each request with this share, so the sum over all instances needs no common count: a lost,
 * late or doubled report and a restart leave the share as it is. The slack of the site covers the chance of the draws,
 * the delay of the reports, and a larger share, which ends as soon as the reports show its use.
 */
public final class ExposureShare {
    /** Part of the permitted share that is drawn where the slack is large; the rest covers requests that are lost. */
    private static final double BASE = 0.8;

    /** Part of the permitted share that is drawn without any slack. */
    private static final double LEAST_BASE = 0.3;

    /** Slack that covers four standard deviations of the draws at the whole base share. */
    private static final double SLACK_FOR_BASE = 16;

    /** Part of the slack that a larger share may use at the start, to find a version soon that is bad from then on. */
    private static final double INITIAL_SLACK = 0.3;

    /** Part of the slack that a larger share may have used afterwards, to find a version that turns bad later. */
    private static final double LATER_SLACK = 0.5;

    /** Part of the slack beyond the share at which nothing more is sent until the share has caught up. */
    private static final double LAST_SLACK = 0.6;

    private static final double MAX_EXTRA_SHARE = 0.3;

    /** Longest delay of reports, for which the larger share may go on unseen. */
    private static final double REPORT_DELAY_SECONDS = 2;

    /** Part of the time limit that counts as the start. */
    private static final int INITIAL_DIVISOR = 3;

    /** Time and requests before the rate of the requests can be told. */
    private static final Duration RATE_PERIOD = Duration.ofSeconds(1);

    private static final int RATE_REQUESTS = 5;

    private ExposureShare() {}

    /**
     * Computes the share.
     *
     * @param bounds the limits of the site, not null
     * @param tally what is known of the requests of all instances since the order, not null
     * @param elapsed the time since the order, not null
     * @param limit the time limit of the order, not null
     * @return the share, from 0 to 1
     */
    public static double of(
            final RolloutBounds bounds, final Tally tally, final Duration elapsed, final Duration limit) {
        final double exposed = tally.exposed();
        final double permitted = bounds.share() * tally.requests();
        if (exposed > 0 && exposed >= permitted + LAST_SLACK * bounds.slack()) {
            return 0;
        }
        final double slackPart = Math.min(1, bounds.slack() / SLACK_FOR_BASE);
        final double base = bounds.share() * (LEAST_BASE + (BASE - LEAST_BASE) * slackPart);
        final boolean early = elapsed.compareTo(limit.dividedBy(INITIAL_DIVISOR)) < 0;
        final double used = early ? INITIAL_SLACK : LATER_SLACK;
        if (elapsed.compareTo(RATE_PERIOD) < 0
                || tally.requests() < RATE_REQUESTS
                || exposed >= base * tally.requests() + used * bounds.slack()) {
            return base;
        }
        final double rate = tally.requests() / (elapsed.toMillis() / (double) RATE_PERIOD.toMillis());
        final double extra = (early ? used : LATER_SLACK - INITIAL_SLACK) * bounds.slack();
        return base + Math.min(MAX_EXTRA_SHARE, extra / (rate * REPORT_DELAY_SECONDS));
    }
}
