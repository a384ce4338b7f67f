package org.lacewingstep.blackboard;

import java.time.Duration;

import org.lacewingstep.error.Validate;

/**
 * Durations and sizes that decisions use.
 *
 * @param heartbeatInterval time between heartbeats to each peer
 * @param peerSilenceLimit a peer that was not heard for so long is not asked
 * @param leaseDuration life of the lease in the store
 * @param fencingDelay an instance that nothing vouches for suspends itself after so long
 * @param removalDelay a member is removed when lease and list have missed it for so long; longer than fencingDelay
 * @param settleDelay how long a new home waits after the last acknowledgement; longer than grantLife
 * @param grantLife how old the first debit of a request may be when the request is admitted
 * @param admissionPatience how long a home lets a request wait for tokens
 * @param placementTimeout how long a home may stay silent on a placement before another cell is asked
 * @param requestLimit the longest life of a request
 * @param auditInterval how long a reservation stays unconfirmed before its owner is asked
 * @param loadInterval time between load reports of an upstream
 * @param loadSilenceLimit an upstream that did not report for so long gets no new work
 * @param configurationInterval time between reads of the configuration's head
 * @param isolationLimit keyed routes close when nothing confirms the configuration for so long
 * @param drainDelay how long a stopping instance goes on accepting while the balancer learns of it
 * @param coldStartFloor how many attempts an upstream in a cold start gets at first
 * @param tokensPerPiece tokens in a piece of engine memory
 * @param queueLimit how many requests may wait for room in one cell
 * @param requestsLimit how many requests one instance works on at once
 * @param maximumTokens most tokens that one request may ask for, prompt and output together
 */
public record Policy(
        Duration heartbeatInterval,
        Duration peerSilenceLimit,
        Duration leaseDuration,
        Duration fencingDelay,
        Duration removalDelay,
        Duration settleDelay,
        Duration grantLife,
        Duration admissionPatience,
        Duration placementTimeout,
        Duration requestLimit,
        Duration auditInterval,
        Duration loadInterval,
        Duration loadSilenceLimit,
        Duration configurationInterval,
        Duration isolationLimit,
        Duration drainDelay,
        int coldStartFloor,
        int tokensPerPiece,
        int queueLimit,
        int requestsLimit,
        long maximumTokens) {
    /** The values used where the settings are silent. */
    public static final Policy DEFAULT = new Policy(
            Duration.ofMillis(500),
            Duration.ofMillis(2000),
            Duration.ofSeconds(6),
            Duration.ofSeconds(5),
            Duration.ofSeconds(8),
            Duration.ofSeconds(2),
            Duration.ofMillis(1000),
            Duration.ofMillis(500),
            Duration.ofSeconds(1),
            Duration.ofSeconds(120),
            Duration.ofSeconds(5),
            Duration.ofMillis(500),
            Duration.ofSeconds(3),
            Duration.ofSeconds(1),
            Duration.ofSeconds(8),
            Duration.ofSeconds(2),
            2,
            4096,
            512,
            4096,
            131_072);

    /** Checks the values against each other. */
    public Policy {
        Validate.positive(heartbeatInterval, "heartbeat_interval");
        Validate.positive(grantLife, "grant_life");
        Validate.positive(requestLimit, "request_limit");
        Validate.isTrue(
                removalDelay.compareTo(fencingDelay) > 0, "removal_delay", "longer than fencing_delay " + fencingDelay);
        Validate.isTrue(settleDelay.compareTo(grantLife) > 0, "settle_delay", "longer than grant_life " + grantLife);
        Validate.isTrue(
                grantLife.compareTo(admissionPatience) > 0,
                "grant_life",
                "longer than admission_patience " + admissionPatience);
        Validate.isTrue(coldStartFloor > 0, "cold_start_floor", "more than zero");
        Validate.isTrue(tokensPerPiece > 0, "tokens_per_piece", "more than zero");
        Validate.isTrue(queueLimit > 0, "queue_limit", "more than zero");
        Validate.isTrue(requestsLimit > 0, "requests_limit", "more than zero");
        Validate.isTrue(maximumTokens > 0, "maximum_tokens", "more than zero");
    }

    /**
     * Computes the pieces of memory that a request needs at its end.
     *
     * @param tokens prompt and permitted output in tokens
     * @return the pieces, at least one
     */
    public int pieces(final long tokens) {
        return (int) Math.max(1, Math.ceilDiv(tokens, tokensPerPiece));
    }
}
