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
 */
public record UpstreamNotice(
        UpstreamStart start, RequestIdentifier request, boolean leaving, Optional<Duration> pause) {
    /** Checks that the mandatory parts are present. */
    public UpstreamNotice {
        Validate.notNull(start, "start");
        Validate.notNull(request, "request");
        Validate.notNull(pause, "pause");
    }

    /**
     * Returns whether the response announced anything.
     *
     * @return true if the upstream is shutting down or named a pause
     */
    public boolean isPresent() {
        return leaving || pause.isPresent();
    }
}
