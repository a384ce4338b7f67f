package org.lacewingstep.blackboard;

import org.lacewingstep.error.Validate;

/**
 * The sections for what this instance has learned about upstreams from their responses.
 *
 * @param notices what upstreams have announced in their responses, not null
 * @param speeds the measured speeds of upstreams, not null
 * @param keptPrompts which parts of prompts engines probably keep, not null
 */
public record LearnedBoard(UpstreamNoticeSection notices, SpeedSection speeds, KeptPromptSection keptPrompts) {
    /** The initial sections of a process. */
    public static final LearnedBoard INITIAL =
            new LearnedBoard(UpstreamNoticeSection.INITIAL, SpeedSection.INITIAL, KeptPromptSection.INITIAL);

    /** Checks that every section is present. */
    public LearnedBoard {
        Validate.notNull(notices, "notices");
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
            case UpstreamNoticeSection next -> new LearnedBoard(next, speeds, keptPrompts);
            case SpeedSection next -> new LearnedBoard(notices, next, keptPrompts);
            case KeptPromptSection next -> new LearnedBoard(notices, speeds, next);
        };
    }
}
