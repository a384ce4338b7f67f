package org.lacewingstep.blackboard;

import java.time.Duration;

import org.lacewingstep.error.Validate;

/**
 * Durations and sizes that the controllers' decisions use.
 *
 * @param heartbeatInterval time between heartbeats to each peer
 * @param peerSilenceLimit time without a message from a peer after which the peer is no longer queried
 * @param leaseDuration time to live of the lease in the store
 * @param fencingDelay time without confirmation of its membership after which an instance suspends itself
 * @param removalDelay time for which both the leases and the platform's list must lack a member before the member is
 *     removed; longer than fencingDelay
 * @param settleDelay how long a new shard owner waits after the last acknowledgement of the epoch; longer than
 *     grantLife
 * @param grantLife maximum age of a request's first debit when the request is admitted
 * @param admissionPatience how long a request may wait for tokens at a shard owner
 * @param placementTimeout time without a response to a placement request after which another cell is queried
 * @param requestLimit maximum duration of a request
 * @param auditInterval time without confirmation of a reservation after which its owner is queried
 * @param loadInterval time between load reports of an upstream
 * @param loadSilenceLimit time without a load report after which an upstream gets no new requests
 * @param configurationInterval time between reads of the configuration's head
 * @param isolationLimit time without confirmation of the configuration after which routes that need a key are closed
 * @param drainDelay how long a stopping instance continues to accept requests while the load balancer detects the stop
 * @param coldStartFloor concurrent attempts that an upstream in a cold start is allowed at first
 * @param tokensPerPiece number of tokens in a piece of engine memory
 * @param queueLimit maximum number of requests that wait for capacity in one cell
 * @param requestsLimit maximum number of concurrent requests of one instance
 * @param maximumTokens maximum number of tokens of one request, prompt and output together
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
    /** The values used where the settings give none. */
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

    /** Checks that the values are positive where required and consistent with each other. */
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
     * @param tokens prompt and permitted output, in tokens
     * @return the number of pieces, at least one
     */
    public int pieces(final long tokens) {
        return (int) Math.max(1, Math.ceilDiv(tokens, tokensPerPiece));
    }
}
