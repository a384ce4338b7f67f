package org.lacewingstep.traffic;

/**
 * A part of the generated text.
 *
 * @param tokens the number of tokens up to the end of this chunk, over all attempts
 * @param text the text of this chunk, not null
 * @param finishReason why the generation ended, empty in all chunks but the last, not null
 */
record CompletionChunk(long tokens, String text, String finishReason) {
    /**
     * Returns whether the generation ends with this chunk.
     *
     * @return true for the last chunk
     */
    boolean isLast() {
        return !finishReason.isEmpty();
    }
}
