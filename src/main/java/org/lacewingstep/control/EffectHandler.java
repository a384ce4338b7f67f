package org.lacewingstep.control;

import org.lacewingstep.blackboard.Effect;

/** Carries out effects; called on the control thread, so it must not wait. */
@FunctionalInterface
public interface EffectHandler {
    /**
     * Carries out an effect or hands it to another thread.
     *
     * @param effect the effect, not null
     */
    void handle(Effect effect);
}
