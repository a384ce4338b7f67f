package org.lacewingstep.blackboard;

import java.time.Duration;
import java.util.Optional;

import org.lacewingstep.error.Validate;

/** The result of an attempt of a call at an upstream. */
public sealed interface CallResult {
    /** The upstream's response is complete. */
    record Served() implements CallResult {}

    /**
     * The upstream responded with a failure that can be passed on to the caller.
     *
     * @param status the HTTP status of the response
     */
    record FailedByUpstream(int status) implements CallResult {}

    /**
     * The call was not run.
     *
     * @param reached true if an upstream refused the call, false if the call was never sent
     */
    record NotRun(boolean reached) implements CallResult {}

    /**
     * The response broke off or cannot be used; the call may have run.
     *
     * @param silent whether the upstream sent no data within the time limit
     * @param begun whether the caller has received a part of the response, also of an earlier attempt
     * @param progress time from the first to the last event of this attempt, empty without events, not null
     */
    record Broken(boolean silent, boolean begun, Optional<Duration> progress) implements CallResult {
        /** Checks that the time is present. */
        public Broken {
            Validate.notNull(progress, "progress");
        }

        /**
         * Creates the result of an attempt without events.
         *
         * @param silent whether the upstream sent no data within the time limit
         * @param begun whether the caller has received a part of the response of an earlier attempt
         */
        public Broken(final boolean silent, final boolean begun) {
            this(silent, begun, Optional.empty());
        }
    }
}
