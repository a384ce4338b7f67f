package org.lacewingstep.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/** Encodes the words of a generation as a stream of frames for one reader. */
final class EngineStream {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EngineFault fault;
    private final Generation generation;
    private final Runnable onComplete;

    private boolean ended;
    private boolean faultInjected;
    private boolean finished;
    private int wordIndex;

    EngineStream(
            final Generation generation, final int firstIndex, final EngineFault fault, final Runnable onComplete) {
        this.generation = generation;
        this.wordIndex = firstIndex;
        this.fault = fault;
        this.onComplete = onComplete;
    }

    /**
     * Returns the next frame as soon as it is available.
     *
     * @param context the request context of the reader, not null
     * @return a promise of the next frame, or of null after the last frame
     */
    Promise<Frame> next(final Context context) {
        if (ended) {
            return Promise.value(null);
        }
        return Promise.async(downstream -> generation.runWhenAvailable(wordIndex, () -> {
            if (fault instanceof EngineFault.Stalled(int tokens) && wordIndex >= tokens) {
                return;
            }
            downstream.success(nextFrame());
        }));
    }

    private Frame nextFrame() {
        if (finished) {
            ended = true;
            onComplete.run();
            return new Frame("", "[DONE]");
        }
        final Frame faultyFrame = faultyFrame();
        if (faultyFrame != null || ended) {
            return faultyFrame;
        }
        if (generation.hasWord(wordIndex)) {
            final String word = generation.word(wordIndex);
            wordIndex++;
            return new Frame(Integer.toString(wordIndex), eventData(generation.identifier(), word, null));
        }
        if (generation.isCancelled()) {
            ended = true;
            return null;
        }
        finished = true;
        return new Frame(Integer.toString(wordIndex), eventData(generation.identifier(), "", "length"));
    }

    private Frame faultyFrame() {
        if (faultInjected || fault == null) {
            return null;
        }
        return switch (fault) {
            case EngineFault.Cut(int tokens)
            when wordIndex >= tokens -> {
                faultInjected = true;
                ended = true;
                yield null;
            }
            case EngineFault.Crossed(int tokens)
            when wordIndex >= tokens -> {
                faultInjected = true;
                yield new Frame(Integer.toString(wordIndex + 1), eventData("someone-else.1", " WRONG", null));
            }
            case EngineFault.Doubled(int tokens)
            when wordIndex >= tokens && wordIndex > 0 -> {
                faultInjected = true;
                final String word = generation.word(wordIndex - 1);
                yield new Frame(Integer.toString(wordIndex), eventData(generation.identifier(), word, null));
            }
            default -> null;
        };
    }

    private static String eventData(final String identifier, final String word, final String finishReason) {
        final ObjectNode body = MAPPER.createObjectNode().put("id", identifier).put("object", "text_completion");
        body.putArray("choices").addObject().put("index", 0).put("text", word).put("finish_reason", finishReason);
        return body.toString();
    }

    /**
     * A server-sent event of the stream.
     *
     * @param identifier the number of words up to and including this frame, empty for the end mark
     * @param data the event data, not null
     */
    record Frame(String identifier, String data) {}
}
