package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.domain.IdempotencyKey;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.ServiceSelector;
import org.lacewingstep.error.Validate;

/**
 * What a caller asks for, apart from how the request was encoded.
 *
 * @param request the request, not null
 * @param selector the service meant, not null
 * @param key the digest of the caller's key, empty if none came
 * @param idempotencyKey marks repetitions of one call, empty if none came
 * @param promptTokens length of the prompt in tokens, zero for plain services
 * @param outputTokens most tokens that may be generated, zero for plain services
 * @param deadline when the answer is too late, not null
 */
public record RequestDemand(
        RequestIdentifier request,
        ServiceSelector selector,
        Optional<KeyDigest> key,
        Optional<IdempotencyKey> idempotencyKey,
        long promptTokens,
        long outputTokens,
        Instant deadline) {
    /** Checks the parts. */
    public RequestDemand {
        Validate.notNull(request, "request");
        Validate.notNull(selector, "selector");
        Validate.notNull(key, "key");
        Validate.notNull(idempotencyKey, "idempotency key");
        Validate.notNegative(promptTokens, "prompt tokens");
        Validate.notNegative(outputTokens, "output tokens");
        Validate.notNull(deadline, "deadline");
    }

    /**
     * Adds prompt and permitted output.
     *
     * @return the tokens
     */
    public long totalTokens() {
        return promptTokens + outputTokens;
    }
}
