package org.lacewingstep.traffic;

import java.io.IOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.error.ErrorCode;

/**
 * A caller's request for a completion.
 *
 * @param model the model's name, not blank
 * @param prompt the text to complete, not empty
 * @param outputTokens the largest number of tokens to generate, more than zero
 * @param stream whether the response is streamed
 */
record CompletionRequest(String model, String prompt, long outputTokens, boolean stream) {
    private static final int DEFAULT_OUTPUT_TOKENS = 16;
    private static final int LARGEST_OUTPUT_TOKENS = 1_000_000;
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    /**
     * Parses the body of a completion request.
     *
     * @param body the JSON text, not null
     * @return the parsed request, never null
     * @throws RequestFailure if the body is not a JSON object, or a field is missing, of the wrong type or out of range
     */
    static CompletionRequest parse(final String body) {
        final JsonNode json = read(body);
        require(json.isObject(), "the body must be a JSON object");
        require(json.path("model").isTextual() && !json.path("model").asText().isBlank(), "model must be a text");
        require(json.path("prompt").isTextual() && !json.path("prompt").asText().isEmpty(), "prompt must be a text");
        final JsonNode maxTokens = json.path("max_tokens");
        require(
                maxTokens.isMissingNode() || maxTokens.canConvertToLong() && maxTokens.isIntegralNumber(),
                "max_tokens must be a whole number");
        final long outputTokens = maxTokens.asLong(DEFAULT_OUTPUT_TOKENS);
        require(
                outputTokens > 0 && outputTokens <= LARGEST_OUTPUT_TOKENS,
                "max_tokens must be from 1 to " + LARGEST_OUTPUT_TOKENS);
        require(json.path("stream").isMissingNode() || json.path("stream").isBoolean(), "stream must be true or false");
        return new CompletionRequest(
                json.path("model").asText(),
                json.path("prompt").asText(),
                outputTokens,
                json.path("stream").asBoolean());
    }

    private static JsonNode read(final String body) {
        try {
            return MAPPER.readTree(body);
        } catch (final IOException failure) {
            throw invalid("the body is no valid JSON text");
        }
    }

    private static void require(final boolean condition, final String message) {
        if (!condition) {
            throw invalid(message);
        }
    }

    private static RequestFailure invalid(final String message) {
        return RequestFailure.notRun(Refusal.of(ErrorCode.REQUEST_INVALID, message));
    }
}
