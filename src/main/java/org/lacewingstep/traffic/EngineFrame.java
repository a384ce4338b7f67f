package org.lacewingstep.traffic;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.lacewingstep.domain.AttemptIdentifier;
import ratpack.sse.Event;

/** Classifies an event of an engine's stream relative to the attempt whose tokens are forwarded. */
sealed interface EngineFrame {
    /** Data of the event that ends a complete stream. */
    String END_MARK = "[DONE]";

    /** Parses the JSON data of events. */
    ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Classifies an event of an engine's stream.
     *
     * @param event the server-sent event, not null
     * @param attempt the attempt whose tokens are forwarded, not null
     * @param receivedTokens the number of tokens received so far in this attempt
     * @return the classified frame, never null
     */
    static EngineFrame of(final Event<?> event, final AttemptIdentifier attempt, final long receivedTokens) {
        if (event.getData() == null) {
            return new Skipped();
        }
        if (END_MARK.equals(event.getData())) {
            return new EndMark();
        }
        try {
            return classify(MAPPER.readTree(event.getData()), event.getId(), attempt, receivedTokens);
        } catch (final IOException failure) {
            return new Invalid("a frame is not valid JSON");
        }
    }

    private static EngineFrame classify(
            final JsonNode json,
            final String eventIdentifier,
            final AttemptIdentifier attempt,
            final long receivedTokens) {
        if (!attempt.toString().equals(json.path("id").asText())) {
            return new Skipped();
        }
        final boolean hasOffset = eventIdentifier != null && eventIdentifier.matches("\\d{1,18}");
        final long offset = hasOffset ? Long.parseLong(eventIdentifier) : 0;
        final JsonNode choice = json.path("choices").path(0);
        final String reason = choice.path("finish_reason").asText("");
        if (!reason.isEmpty() && !"null".equals(reason)) {
            return offset > receivedTokens
                    ? new Invalid("a frame is missing before the end at offset " + offset)
                    : new Finish(reason);
        }
        if (!hasOffset) {
            return new Invalid("a frame has no offset");
        }
        if (offset <= receivedTokens) {
            return new Skipped();
        }
        if (offset > receivedTokens + 1) {
            return new Invalid("a frame is missing before offset " + offset);
        }
        return new Text(choice.path("text").asText());
    }

    /** The end mark of a complete stream. */
    record EndMark() implements EngineFrame {}

    /**
     * The frame that ends the generation; only the end mark follows.
     *
     * @param reason why the generation ended, not null
     */
    record Finish(String reason) implements EngineFrame {}

    /**
     * A frame that is malformed or out of sequence, after which the stream is not used.
     *
     * @param reason why the frame is rejected, not null
     */
    record Invalid(String reason) implements EngineFrame {}

    /** A frame without data, of another attempt or with a token that was received before. */
    record Skipped() implements EngineFrame {}

    /**
     * A frame with the next token of the attempt.
     *
     * @param text the token's text, not null
     */
    record Text(String text) implements EngineFrame {}
}
