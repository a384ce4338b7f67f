package org.lacewingstep.standin;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;

/** Generates the text of a stand-in engine: the preceding text determines each word. */
final class EngineText {
    private static final String[] WORDS = {
        " reed", " knot", " dye", " weave", " coil", " rim", " prism", " lap", " angle", " flat", " bench", " glass"
    };

    private EngineText() {}

    /**
     * Generates the words that follow a prompt.
     *
     * @param prompt the preceding text, not null
     * @param count the number of words
     * @return the generated words without the prompt, never null
     */
    static String generate(final String prompt, final int count) {
        final StringBuilder text = new StringBuilder(prompt);
        for (int index = 0; index < count; index++) {
            text.append(next(text.toString()));
        }
        return text.substring(prompt.length());
    }

    /**
     * Generates the next word.
     *
     * @param text the preceding text, not null
     * @return the next word, never null
     */
    static String next(final String text) {
        final int hash =
                Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asInt();
        return WORDS[Math.floorMod(hash, WORDS.length)];
    }
}
