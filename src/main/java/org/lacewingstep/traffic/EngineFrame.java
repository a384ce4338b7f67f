package org.lacewingstep.traffic;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.lacewingstep.domain.AttemptIdentifier;
import ratpack.sse.Event;

/** What an event of an engine's stream means for the attempt that is being relayed. */
sealed interface EngineFrame {
    /** Text of the end mark. */
    String END_MARK = "[DONE]";

    /** Reads JSON. */
    ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Interprets an event.
     *
     * @param event the event, not null
     * @param attempt the attempt being relayed, not null
     * @param received tokens of this attempt received so far
     * @return the frame, never null
     */
    static EngineFrame of(final Event<?> event, final AttemptIdentifier attempt, final long received) {
        if (event.getData() == null) {
            return new Skipped();
        }
        if (END_MARK.equals(event.getData())) {
            return new EndMark();
        }
        try {
            return interpret(MAPPER.readTree(event.getData()), event.getId(), attempt, received);
        } catch (final IOException failure) {
            return new Invalid("a frame is no JSON text");
        }
    }

    private static EngineFrame interpret(
            final JsonNode json, final String eventIdentifier, final AttemptIdentifier attempt, final long received) {
        if (!attempt.toString().equals(json.path("id").asText())) {
            return new Skipped();
        }
        final JsonNode choice = json.path("choices").path(0);
        final String reason = choice.path("finish_reason").asText("");
        if (!reason.isEmpty() && !"null".equals(reason)) {
            return new Finish(reason);
        }
        if (eventIdentifier == null || !eventIdentifier.matches("\\d{1,18}")) {
            return new Invalid("a frame has no offset");
        }
        final long offset = Long.parseLong(eventIdentifier);
        if (offset <= received) {
            return new Skipped();
        }
        if (offset > received + 1) {
            return new Invalid("a frame is missing before offset " + offset);
        }
        return new Text(choice.path("text").asText());
    }

    /** The stream is complete. */
    record EndMark() implements EngineFrame {}

    /**
     * The generation has ended.
     *
     * @param reason why, not null
     */
    record Finish(String reason) implements EngineFrame {}

    /**
     * The stream cannot be trusted any further.
     *
     * @param reason why, not null
     */
    record Invalid(String reason) implements EngineFrame {}

    /** A frame of another attempt, or one that was received before. */
    record Skipped() implements EngineFrame {}

    /**
     * The next token.
     *
     * @param text its text, not null
     */
    record Text(String text) implements EngineFrame {}
}
