package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Map;
import java.util.stream.Collectors;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.SiteSection;
import org.lacewingstep.blackboard.SpeedSection.ServiceWork;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.SpeedKey;
import org.lacewingstep.domain.SpeedSum;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.domain.WorkKind;
import org.lacewingstep.placement.UpstreamForecast;

/** Reads the measured speeds of upstreams from the blackboard. */
final class UpstreamSpeeds {
    /** Most sums in one report. */
    static final int MAX_REPORTED = 8;

    /** Time for which a sum is reported after its last sample; the next sample makes up for a lost report. */
    private static final Duration REPORT_PERIOD = SiteSection.BROADCAST_INTERVAL;

    private UpstreamSpeeds() {}

    /**
     * Computes how much slower an upstream works than the upstreams of its service together.
     *
     * @param board the blackboard, not null
     * @param upstream the upstream, not null
     * @param now the present time, not null
     * @return the factor, 1 for an upstream whose speed is unknown or usual
     */
    static double slowness(final Blackboard board, final RegisteredUpstream upstream, final Instant now) {
        return UpstreamForecast.slowness(
                sum(board, upstream, kind(upstream.role()), now),
                serviceSum(board, upstream, kind(upstream.role()), now));
    }

    /**
     * Computes the time that an upstream needs for a unit of the work of its role.
     *
     * @param board the blackboard, not null
     * @param upstream the upstream, not null
     * @param now the present time, not null
     * @return the seconds for a unit, zero if nothing was measured at any upstream of the service
     */
    static double secondsPerUnit(final Blackboard board, final RegisteredUpstream upstream, final Instant now) {
        return secondsPerUnit(board, upstream, kind(upstream.role()), now);
    }

    /**
     * Computes the time that an upstream needs for a unit of work.
     *
     * @param board the blackboard, not null
     * @param upstream the upstream, not null
     * @param kind the kind of work, not null
     * @param now the present time, not null
     * @return the seconds for a unit, zero if nothing was measured at any upstream of the service
     */
    static double secondsPerUnit(
            final Blackboard board, final RegisteredUpstream upstream, final WorkKind kind, final Instant now) {
        return UpstreamForecast.secondsPerUnit(sum(board, upstream, kind, now), serviceSum(board, upstream, kind, now));
    }

    /**
     * Forecasts how long an upstream needs for the requests that run there, with the measured time of one unit each.
     *
     * @param board the blackboard, not null
     * @param upstream the upstream, not null
     * @param now the present time, not null
     * @return the time in milliseconds
     */
    static long forecastMillis(final Blackboard board, final RegisteredUpstream upstream, final Instant now) {
        return (long) (1000
                * UpstreamForecast.completion(
                        board.serving().use(upstream.name(), now).requests(),
                        1,
                        upstream.slots(),
                        secondsPerUnit(board, upstream, now)));
    }

    private static SpeedSum serviceSum(
            final Blackboard board, final RegisteredUpstream upstream, final WorkKind kind, final Instant now) {
        return board.serving()
                .learned()
                .speeds()
                .services()
                .getOrDefault(new ServiceWork(upstream.service(), kind), SpeedSum.NONE)
                .at(now);
    }

    private static SpeedSum sum(
            final Blackboard board, final RegisteredUpstream upstream, final WorkKind kind, final Instant now) {
        return board.serving()
                .learned()
                .speeds()
                .merged()
                .getOrDefault(
                        new SpeedKey(new UpstreamStart(upstream.name(), upstream.startedAtMillis()), kind),
                        SpeedSum.NONE)
                .at(now);
    }

    private static WorkKind kind(final UpstreamRole role) {
        return switch (role) {
            case DECODE -> WorkKind.OUTPUT_EVENT;
            case PREFILL -> WorkKind.PROMPT_TOKEN;
            case PLAIN -> WorkKind.PLAIN_CALL;
        };
    }

    /**
     * Lists the sums of this instance to report: those with the latest samples.
     *
     * @param board the blackboard, not null
     * @param now the present time, not null
     * @return the sums, never null
     */
    static Map<SpeedKey, SpeedSum> reported(final Blackboard board, final Instant now) {
        final Instant oldest = now.minus(REPORT_PERIOD);
        return board.serving().learned().speeds().own().entrySet().stream()
                .filter(entry -> entry.getValue().at().isAfter(oldest))
                .sorted(Comparator.comparing((Map.Entry<SpeedKey, SpeedSum> entry) ->
                                entry.getValue().at())
                        .reversed())
                .limit(MAX_REPORTED)
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> entry.getValue().at(now)));
    }
}
