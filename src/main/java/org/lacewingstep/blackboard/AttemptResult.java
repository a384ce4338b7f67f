package org.lacewingstep.blackboard;

import org.lacewingstep.domain.UpstreamName;

/** The result of an attempt at upstreams. */
public sealed interface AttemptResult {
    /**
     * The caller has received the complete response.
     *
     * @param outputTokens number of tokens that the caller has received over all attempts
     */
    record Completed(long outputTokens) implements AttemptResult {}

    /**
     * The attempt failed.
     *
     * @param step the step that failed, not null
     * @param upstream the upstream at which the step failed, not null
     * @param sent whether any part of the request may have reached the upstream
     * @param outputTokens number of tokens that the caller has received over all attempts
     * @param overloaded whether the upstream refused or stalled as an upstream in a cold start does
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
