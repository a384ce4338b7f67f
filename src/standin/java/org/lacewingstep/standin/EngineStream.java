package org.lacewingstep.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/** One reading of a generation as a stream of frames. */
final class EngineStream {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EngineFault fault;
    private final Generation generation;
    private final Runnable whenComplete;

    private boolean ended;
    private boolean faulted;
    private boolean finished;
    private int index;

    EngineStream(final Generation generation, final int from, final EngineFault fault, final Runnable whenComplete) {
        this.generation = generation;
        this.index = from;
        this.fault = fault;
        this.whenComplete = whenComplete;
    }

    /**
     * Gets the next frame.
     *
     * @param context the reader's context, not null
     * @return the frame, null after the last one
     */
    Promise<Frame> next(final Context context) {
        if (ended) {
            return Promise.value(null);
        }
        return Promise.async(done -> generation.whenReady(index, () -> {
            if (fault instanceof EngineFault.Stalled(int tokens) && index >= tokens) {
                return;
            }
            done.success(frame());
        }));
    }

    private Frame frame() {
        if (finished) {
            ended = true;
            whenComplete.run();
            return new Frame("", "[DONE]");
        }
        final Frame wrong = wrongFrame();
        if (wrong != null || ended) {
            return wrong;
        }
        if (generation.hasWord(index)) {
            final String word = generation.word(index);
            index++;
            return new Frame(Integer.toString(index), data(generation.identifier(), word, null));
        }
        if (generation.isCancelled()) {
            ended = true;
            return null;
        }
        finished = true;
        return new Frame(Integer.toString(index), data(generation.identifier(), "", "length"));
    }

    private Frame wrongFrame() {
        if (faulted || fault == null) {
            return null;
        }
        return switch (fault) {
            case EngineFault.Cut(int tokens)
            when index >= tokens -> {
                faulted = true;
                ended = true;
                yield null;
            }
            case EngineFault.Crossed(int tokens)
            when index >= tokens -> {
                faulted = true;
                yield new Frame(Integer.toString(index + 1), data("someone-else.1", " WRONG", null));
            }
            case EngineFault.Doubled(int tokens)
            when index >= tokens && index > 0 -> {
                faulted = true;
                final String word = generation.word(index - 1);
                yield new Frame(Integer.toString(index), data(generation.identifier(), word, null));
            }
            default -> null;
        };
    }

    private static String data(final String identifier, final String word, final String finishReason) {
        final ObjectNode body = MAPPER.createObjectNode().put("id", identifier).put("object", "text_completion");
        body.putArray("choices").addObject().put("index", 0).put("text", word).put("finish_reason", finishReason);
        return body.toString();
    }

    /**
     * A frame.
     *
     * @param identifier the offset after it, not null
     * @param data the data, not null
     */
    record Frame(String identifier, String data) {}
}
