package org.lacewingstep.blackboard;

import org.lacewingstep.error.Validate;

/**
 * The sections for what this instance has learned about upstreams and the store from their responses.
 *
 * @param notices what upstreams have announced in their responses, not null
 * @param speeds the measured speeds of upstreams, not null
 * @param keptPrompts which parts of prompts engines probably keep, not null
 * @param store the era of the platform's store, not null
 */
public record LearnedBoard(
        UpstreamNoticeSection notices, SpeedSection speeds, KeptPromptSection keptPrompts, StoreSection store) {
    /** The initial sections of a process. */
    public static final LearnedBoard INITIAL = new LearnedBoard(
            UpstreamNoticeSection.INITIAL, SpeedSection.INITIAL, KeptPromptSection.INITIAL, StoreSection.INITIAL);

    /** Checks that every section is present. */
    public LearnedBoard {
        Validate.notNull(notices, "notices");
        Validate.notNull(speeds, "speeds");
        Validate.notNull(keptPrompts, "kept prompts");
        Validate.notNull(store, "store");
    }

    /**
     * Replaces one section.
     *
     * @param section the new section, not null
     * @return the updated sections, never null
     */
    public LearnedBoard with(final LearnedSection section) {
        return switch (section) {
            case UpstreamNoticeSection next -> new LearnedBoard(next, speeds, keptPrompts, store);
            case SpeedSection next -> new LearnedBoard(notices, next, keptPrompts, store);
            case KeptPromptSection next -> new LearnedBoard(notices, speeds, next, store);
            case StoreSection next -> new LearnedBoard(notices, speeds, keptPrompts, next);
        };
    }
}
