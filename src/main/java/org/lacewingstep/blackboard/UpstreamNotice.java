package org.lacewingstep.blackboard;

import java.time.Duration;
import java.util.Optional;

import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.error.Validate;

/**
 * What an upstream announces about itself in a response.
 *
 * @param start the start of the upstream that sent the response, not null
 * @param request the request that the response belongs to, not null
 * @param leaving whether the upstream is shutting down and must be sent no further requests
 * @param pause time for which this instance must send the upstream no requests, empty for none
 * @param requestsPerSecond the rate that the upstream takes from all instances together, empty for any
 */
public record UpstreamNotice(
        UpstreamStart start,
        RequestIdentifier request,
        boolean leaving,
        Optional<Duration> pause,
        Optional<Double> requestsPerSecond) {
    /** Checks that the mandatory parts are present. */
    public UpstreamNotice {
        Validate.notNull(start, "start");
        Validate.notNull(request, "request");
        Validate.notNull(pause, "pause");
        Validate.notNull(requestsPerSecond, "rate");
    }

    /**
     * Creates a notice of an upstream that limits no rate.
     *
     * @param start the start of the upstream that sent the response, not null
     * @param request the request that the response belongs to, not null
     * @param leaving whether the upstream is shutting down and must be sent no further requests
     * @param pause time for which this instance must send the upstream no requests, empty for none
     */
    public UpstreamNotice(
            final UpstreamStart start,
            final RequestIdentifier request,
            final boolean leaving,
            final Optional<Duration> pause) {
        this(start, request, leaving, pause, Optional.empty());
    }

    /**
     * Returns whether the response announced anything.
     *
     * @return true if the upstream is shutting down or named a pause or a rate
     */
    public boolean isPresent() {
        return leaving || pause.isPresent() || requestsPerSecond.isPresent();
    }
}
