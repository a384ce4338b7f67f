package org.lacewingstep.traffic;

import java.time.Duration;

import com.codahale.metrics.MetricRegistry;

/**
 * Records the counters and latencies of calls.
 *
 * @param registry the registry that holds the metrics, not null
 */
public record CallMetrics(MetricRegistry registry) {
    private static final int STATUSES_PER_CLASS = 100;

    /**
     * Counts a finished call and records its latency.
     *
     * @param status the HTTP status of the response, zero if the caller disconnected before the response
     * @param latency the time since the request was read, not null
     */
    void recordResponse(final int status, final Duration latency) {
        final String outcome = status == 0 ? "abandoned" : status / STATUSES_PER_CLASS + "xx";
        registry.counter("calls." + outcome).inc();
        registry.timer("calls.latency").update(latency);
    }

    /**
     * Records the latency of the first event of a streamed response.
     *
     * @param latency the time since the request was read, not null
     */
    public void recordFirstEvent(final Duration latency) {
        registry.timer("calls.first_event").update(latency);
    }

    /** Counts a call that was refused because no memory was free for its body. */
    public void countBodyRefusal() {
        registry.counter("bodies.refused").inc();
    }

    /** Counts a caller whose connection was closed because it was too slow for the memory that it held. */
    public void countSlowCaller() {
        registry.counter("callers.cut").inc();
    }

    /** Counts a failed request to an upstream. */
    public void countUpstreamFailure() {
        registry.counter("upstreams.failed").inc();
    }
}
