package org.lacewingstep.traffic;

/**
 * A part of a generated answer.
 *
 * @param tokens tokens that the caller has received with this part, over all attempts
 * @param text the text, not null
 * @param finishReason why the generation ended, empty in all parts but the last; not null
 */
record CompletionChunk(long tokens, String text, String finishReason) {
    /**
     * Tells whether the answer ends with this part.
     *
     * @return true for the last part
     */
    boolean isLast() {
        return !finishReason.isEmpty();
    }
}
