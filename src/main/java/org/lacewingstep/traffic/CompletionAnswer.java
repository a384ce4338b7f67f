package org.lacewingstep.traffic;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lacewingstep.domain.RequestIdentifier;

/** Encodes completions and their parts. */
final class CompletionAnswer {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CompletionAnswer() {}

    /**
     * Encodes text with the reason why it ended.
     *
     * @param request the request, not null
     * @param text the text, not null
     * @param finishReason the reason, empty before the end; not null
     * @return the JSON text, never null
     */
    static String json(final RequestIdentifier request, final String text, final String finishReason) {
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
