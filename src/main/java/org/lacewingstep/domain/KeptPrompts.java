package org.lacewingstep.domain;

import java.util.Comparator;
import java.util.List;

import org.lacewingstep.error.Validate;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The parts of prompts that an engine probably keeps in its memory. Parts that were used least recently yield to what
 * the engine reads later.
 *
 * @param parts the parts, not null
 * @param readTokens the tokens that this instance has sent the engine since its start, not negative
 */
public record KeptPrompts(PMap<PromptPart, KeptPart> parts, long readTokens) {
    /** An engine that keeps nothing. */
    public static final KeptPrompts NONE = new KeptPrompts(HashTreePMap.empty(), 0);

    /** Most parts that are tracked of one engine. */
    public static final int MAX_PARTS = 128;

    /** Validates the components. */
    public KeptPrompts {
        Validate.notNull(parts, "parts");
        Validate.notNegative(readTokens, "tokens read");
    }

    /**
     * A part of a prompt that an engine has read.
     *
     * @param tokens the number of tokens of the part, not negative
     * @param readTokens the tokens that this instance had sent the engine when the part was used last
     */
    public record KeptPart(long tokens, long readTokens) {}

    /**
     * Adds a prompt that the engine has read.
     *
     * @param prompt the parts of the prompt in order, not null
     * @param tokens the tokens of the request, output included, not negative
     * @return what the engine keeps then, never null
     */
    public KeptPrompts plus(final List<PromptSegment> prompt, final long tokens) {
        final long read = readTokens + tokens;
        PMap<PromptPart, KeptPart> next = parts;
        for (final PromptSegment segment : prompt.subList(0, Math.min(MAX_PARTS, prompt.size()))) {
            next = next.plus(segment.part(), new KeptPart(segment.tokens(), read));
        }
        while (next.size() > MAX_PARTS) {
            next = next.minus(leastRecentlyUsed(next));
        }
        return new KeptPrompts(next, read);
    }

    private static PromptPart leastRecentlyUsed(final PMap<PromptPart, KeptPart> parts) {
        return parts.entrySet().stream()
                .min(Comparator.comparingLong(entry -> entry.getValue().readTokens()))
                .orElseThrow()
                .getKey();
    }

    /**
     * Removes the parts of a prompt, which the engine turned out not to keep.
     *
     * @param prompt the parts of the prompt, not null
     * @return what the engine keeps then, never null
     */
    public KeptPrompts without(final List<PromptSegment> prompt) {
        PMap<PromptPart, KeptPart> next = parts;
        for (final PromptSegment segment : prompt) {
            next = next.minus(segment.part());
        }
        return new KeptPrompts(next, readTokens);
    }

    /**
     * Estimates how many tokens of a prompt the engine keeps. A part counts only if all parts before it are kept, and
     * the less the more of the engine's memory was used since.
     *
     * @param prompt the parts of the prompt in order, not null
     * @param memoryTokens the part of the engine's memory that the requests of this instance use, in tokens, positive
     * @return the number of tokens, not negative
     */
    public double keptTokens(final List<PromptSegment> prompt, final double memoryTokens) {
        double kept = 0;
        double chance = 1;
        for (final PromptSegment segment : prompt) {
            final KeptPart part = parts.get(segment.part());
            if (part == null) {
                return kept;
            }
            chance = Math.min(chance, Math.max(0, 1 - (readTokens - part.readTokens()) / memoryTokens));
            kept += chance * segment.tokens();
        }
        return kept;
    }
}
