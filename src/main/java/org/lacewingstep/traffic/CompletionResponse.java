package org.lacewingstep.traffic;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lacewingstep.domain.RequestIdentifier;

/** Encodes completions and their chunks as JSON. */
final class CompletionResponse {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CompletionResponse() {}

    /**
     * Encodes generated text and the reason why the generation ended.
     *
     * @param request the request's identifier, not null
     * @param text the generated text, not null
     * @param finishReason why the generation ended, empty if the generation continues, not null
     * @return the JSON text, never null
     */
    static String encode(final RequestIdentifier request, final String text, final String finishReason) {
        final ObjectNode body =
                MAPPER.createObjectNode().put("id", request.value()).put("object", "text_completion");
        final ObjectNode choice =
                body.putArray("choices").addObject().put("index", 0).put("text", text);
        if (finishReason.isEmpty()) {
            choice.putNull("finish_reason");
        } else {
            choice.put("finish_reason", finishReason);
        }
        return body.toString();
    }
}
