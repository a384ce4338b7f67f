package org.lacewingstep.domain;

import java.time.Duration;

import org.lacewingstep.error.Validate;

/** Retry rule and response form of the requests on a route. */
public sealed interface RouteKind {
    /** Calls that upstreams may execute more than once. */
    record Idempotent() implements RouteKind {}

    /** Calls that upstreams may execute at most once. */
    record AtMostOnce() implements RouteKind {}

    /**
     * Generation requests whose response is a stream of events.
     *
     * @param resumable whether another upstream may continue a broken stream
     * @param longestPause longest pause between two events of a response that counts as on time, not null
     */
    record EventStream(boolean resumable, Duration longestPause) implements RouteKind {
        /** Validates the pause. */
        public EventStream {
            Validate.notNull(longestPause, "longest pause");
        }
    }

    /**
     * Returns whether a request may be sent again after an attempt that an upstream may have executed.
     *
     * @return true if the request may be sent again
     */
    default boolean isRepeatable() {
        return switch (this) {
            case Idempotent() -> true;
            case AtMostOnce() -> false;
            case EventStream(boolean resumable, var pause) -> resumable;
        };
    }
}
