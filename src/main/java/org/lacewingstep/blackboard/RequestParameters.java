package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.domain.IdempotencyKey;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.ServiceSelector;
import org.lacewingstep.error.Validate;

/**
 * The parameters of a caller's request, independent of the request's encoding.
 *
 * @param request the identifier of the request, not null
 * @param selector the selector of the requested service, not null
 * @param key the digest of the caller's API key, empty if the caller sent none
 * @param idempotencyKey the key that identifies repetitions of one request, empty if the caller sent none
 * @param promptTokens length of the prompt in tokens, zero for plain services
 * @param outputTokens maximum number of tokens to generate, zero for plain services
 * @param deadline latest time for the response, not null
 */
public record RequestParameters(
        RequestIdentifier request,
        ServiceSelector selector,
        Optional<KeyDigest> key,
        Optional<IdempotencyKey> idempotencyKey,
        long promptTokens,
        long outputTokens,
        Instant deadline) {
    /** Checks that the parameters are present and that the token counts are not negative. */
    public RequestParameters {
        Validate.notNull(request, "request");
        Validate.notNull(selector, "selector");
        Validate.notNull(key, "key");
        Validate.notNull(idempotencyKey, "idempotency key");
        Validate.notNegative(promptTokens, "prompt tokens");
        Validate.notNegative(outputTokens, "output tokens");
        Validate.notNull(deadline, "deadline");
    }

    /**
     * Returns the sum of prompt and permitted output.
     *
     * @return the number of tokens
     */
    public long totalTokens() {
        return promptTokens + outputTokens;
    }
}
