package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.PromptSegment;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.TokenDemand;
import org.lacewingstep.error.Validate;

/**
 * The parameters of a call that decisions on the call depend on.
 *
 * @param request the identifier of the call, not null
 * @param host the host that the caller addressed, not null
 * @param path the path of the URL without the query, not null
 * @param key the digest of the caller's API key, empty if the caller sent none
 * @param tokens prompt and permitted output in tokens, empty if the caller gave none
 * @param promptParts the parts of the prompt that other requests may share, in order, not null
 * @param segments all parts of the prompt with their lengths, in order, empty if unknown, not null
 * @param waitLimit how long the caller waits for the response, not null
 * @param receivedAt when the call was read, not null
 */
public record CallParameters(
        RequestIdentifier request,
        String host,
        String path,
        Optional<KeyDigest> key,
        Optional<TokenDemand> tokens,
        List<PromptPart> promptParts,
        List<PromptSegment> segments,
        Duration waitLimit,
        Instant receivedAt) {
    /** Checks that the mandatory parameters are present and copies the list. */
    public CallParameters {
        Validate.notNull(request, "request");
        Validate.notNull(host, "host");
        Validate.notNull(path, "path");
        promptParts = List.copyOf(promptParts);
        segments = List.copyOf(segments);
        Validate.notNull(waitLimit, "wait limit");
        Validate.notNull(receivedAt, "arrival");
    }

    /**
     * Creates the parameters of a call whose parts have unknown lengths.
     *
     * @param request the identifier of the call, not null
     * @param host the host that the caller addressed, not null
     * @param path the path of the URL without the query, not null
     * @param key the digest of the caller's API key, empty if the caller sent none
     * @param tokens prompt and permitted output in tokens, empty if the caller gave none
     * @param promptParts the parts of the prompt that other requests may share, in order, not null
     * @param waitLimit how long the caller waits for the response, not null
     * @param receivedAt when the call was read, not null
     */
    public CallParameters(
            final RequestIdentifier request,
            final String host,
            final String path,
            final Optional<KeyDigest> key,
            final Optional<TokenDemand> tokens,
            final List<PromptPart> promptParts,
            final Duration waitLimit,
            final Instant receivedAt) {
        this(request, host, path, key, tokens, promptParts, List.of(), waitLimit, receivedAt);
    }
}
