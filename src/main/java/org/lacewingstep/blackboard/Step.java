package org.lacewingstep.blackboard;

import java.util.List;

/**
 * The result of one step of all controllers on the blackboard.
 *
 * @param board the blackboard after the step, not null
 * @param effects actions for the adapters, in order, not null
 */
public record Step(Blackboard board, List<Effect> effects) {
    /** Copies the list. */
    public Step {
        effects = List.copyOf(effects);
    }
}
