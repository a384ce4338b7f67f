package org.lacewingstep.standin;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;

/** The text that a stand-in engine generates: each word follows from all the text before it. */
final class EngineText {
    private static final String[] WORDS = {
        " reed", " knot", " dye", " weave", " coil", " rim", " prism", " lap", " angle", " flat", " bench", " glass"
    };

    private EngineText() {}

    /**
     * Generates several words.
     *
     * @param prompt the text before, not null
     * @param count how many
     * @return the words, never null
     */
    static String generate(final String prompt, final int count) {
        final StringBuilder text = new StringBuilder(prompt);
        for (int index = 0; index < count; index++) {
            text.append(next(text.toString()));
        }
        return text.substring(prompt.length());
    }

    /**
     * Generates one word.
     *
     * @param text the text before, not null
     * @return the word, never null
     */
    static String next(final String text) {
        final int hash =
                Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asInt();
        return WORDS[Math.floorMod(hash, WORDS.length)];
    }
}
