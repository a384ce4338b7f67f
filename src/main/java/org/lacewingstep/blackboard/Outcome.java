package org.lacewingstep.blackboard;

import java.util.List;

import org.lacewingstep.error.Validate;

/**
 * The result of one step of a controller.
 *
 * @param <S> the type of the section that the controller writes
 * @param section the section after the step, not null
 * @param effects actions for the adapters, in order, not null
 * @param events events for the controllers, in order, not null
 */
public record Outcome<S extends Section>(S section, List<Effect> effects, List<Event> events) {
    /** Checks that the section is present and copies the lists. */
    public Outcome {
        Validate.notNull(section, "section");
        effects = List.copyOf(effects);
        events = List.copyOf(events);
    }

    /**
     * Creates an outcome without effects or events.
     *
     * @param <S> the type of the section
     * @param section the section after the step, not null
     * @return the outcome, never null
     */
    public static <S extends Section> Outcome<S> of(final S section) {
        return new Outcome<>(section, List.of(), List.of());
    }
}
