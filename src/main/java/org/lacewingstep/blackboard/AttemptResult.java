package org.lacewingstep.blackboard;

import org.lacewingstep.domain.UpstreamName;

/** How an attempt at upstreams ended. */
public sealed interface AttemptResult {
    /**
     * The answer is complete.
     *
     * @param outputTokens tokens that the caller has received, over all attempts
     */
    record Completed(long outputTokens) implements AttemptResult {}

    /**
     * The attempt failed.
     *
     * @param step the step, not null
     * @param upstream the upstream concerned, not null
     * @param sent whether any part of the request may have reached the upstream
     * @param outputTokens tokens that the caller has received, over all attempts
     * @param overloaded whether the upstream refused or stalled as one in a cold start does
     */
    record Failed(AttemptStep step, UpstreamName upstream, boolean sent, long outputTokens, boolean overloaded)
            implements AttemptResult {}

    /** A step of an attempt. */
    enum AttemptStep {
        DECODE,
        PLAIN_CALL,
        PREFILL,
        TRANSFER
    }
}
