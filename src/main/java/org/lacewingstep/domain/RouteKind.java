package org.lacewingstep.domain;

import java.time.Duration;

import org.lacewingstep.error.Validate;

/** What may be repeated on a route and how its answers arrive. */
public sealed interface RouteKind {
    /** Calls that may run more than once. */
    record Idempotent() implements RouteKind {}

    /** Calls that run at most once. */
    record RunOnce() implements RouteKind {}

    /**
     * Generations that answer with a stream of events.
     *
     * @param resumable whether a broken stream may go on at another upstream
     * @param longestPause longest pause between two events for an answer that is on time, not null
     */
    record EventStream(boolean resumable, Duration longestPause) implements RouteKind {
        /** Checks the pause. */
        public EventStream {
            Validate.notNull(longestPause, "longest pause");
        }
    }

    /**
     * Tells whether a request may be sent again after an attempt that may have run.
     *
     * @return true if it may
     */
    default boolean isRepeatable() {
        return switch (this) {
            case Idempotent() -> true;
            case RunOnce() -> false;
            case EventStream(boolean resumable, var pause) -> resumable;
        };
    }
}
