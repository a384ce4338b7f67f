package org.lacewingstep.blackboard;

import java.util.List;

/**
 * The result of one step of the whole blackboard.
 *
 * @param board the blackboard afterwards, not null
 * @param effects what the adapters have to do, in order, not null
 */
public record Step(Blackboard board, List<Effect> effects) {
    /** Copies the list. */
    public Step {
        effects = List.copyOf(effects);
    }
}
