package org.lacewingstep.blackboard;

import org.lacewingstep.domain.KeptPrompts;
import org.lacewingstep.domain.UpstreamStart;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Which parts of prompts engines probably keep in their memory.
 *
 * @param engines what each start of an engine keeps, not null
 * @param hits the number of prompts that were read as fast as kept parts let expect
 * @param wrongEstimates the number of prompts that were read as slowly as if no part were kept
 * @param savedTokens the tokens that were probably not read again
 */
public record KeptPromptSection(
        PMap<UpstreamStart, KeptPrompts> engines, long hits, long wrongEstimates, long savedTokens)
        implements LearnedSection {
    /** The initial section of a process. */
    public static final KeptPromptSection INITIAL = new KeptPromptSection(HashTreePMap.empty(), 0, 0, 0);

    /**
     * Copies this section with another estimate for an engine.
     *
     * @param start the start of the engine, not null
     * @param kept what the engine keeps, not null
     * @return the copy, never null
     */
    public KeptPromptSection with(final UpstreamStart start, final KeptPrompts kept) {
        return new KeptPromptSection(engines.plus(start, kept), hits, wrongEstimates, savedTokens);
    }

    /**
     * Copies this section with one more prompt of which parts were kept.
     *
     * @param tokens the number of tokens that were probably not read again
     * @return the copy, never null
     */
    public KeptPromptSection withHit(final long tokens) {
        return new KeptPromptSection(engines, hits + 1, wrongEstimates, savedTokens + tokens);
    }

    /**
     * Copies this section with one more prompt whose parts were wrongly expected to be kept.
     *
     * @return the copy, never null
     */
    public KeptPromptSection withWrongEstimate() {
        return new KeptPromptSection(engines, hits, wrongEstimates + 1, savedTokens);
    }
}
