package org.lacewingstep.blackboard;

import org.lacewingstep.error.Validate;

/**
 * The sections for what this instance has learned about upstreams from their responses.
 *
 * @param speeds the measured speeds of upstreams, not null
 * @param keptPrompts which parts of prompts engines probably keep, not null
 */
public record LearnedBoard(SpeedSection speeds, KeptPromptSection keptPrompts) {
    /** The initial sections of a process. */
    public static final LearnedBoard INITIAL = new LearnedBoard(SpeedSection.INITIAL, KeptPromptSection.INITIAL);

    /** Checks that every section is present. */
    public LearnedBoard {
        Validate.notNull(speeds, "speeds");
        Validate.notNull(keptPrompts, "kept prompts");
    }

    /**
     * Replaces one section.
     *
     * @param section the new section, not null
     * @return the updated sections, never null
     */
    public LearnedBoard with(final LearnedSection section) {
        return switch (section) {
            case SpeedSection next -> new LearnedBoard(next, keptPrompts);
            case KeptPromptSection next -> new LearnedBoard(speeds, next);
        };
    }
}
