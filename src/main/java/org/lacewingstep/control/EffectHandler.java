package org.lacewingstep.control;

import org.lacewingstep.blackboard.Effect;

/** Executes effects. Runs on the control thread, therefore an implementation must not block. */
@FunctionalInterface
public interface EffectHandler {
    /**
     * Executes an effect or submits it to another thread.
     *
     * @param effect the effect, not null
     */
    void handle(Effect effect);
}
