package org.lacewingstep.blackboard;

import java.util.List;
import java.util.Optional;

import org.lacewingstep.domain.RequestIdentifier;

/**
 * A decision that is written to the log.
 *
 * @param step what was decided on, not null
 * @param request the request concerned, empty if it concerns none
 * @param outcome what was decided, not null
 * @param inputs what decided it, not null
 */
public record Decision(String step, Optional<RequestIdentifier> request, String outcome, List<Input> inputs) {
    /** Copies the list. */
    public Decision {
        inputs = List.copyOf(inputs);
    }

    /**
     * Creates a decision on a request.
     *
     * @param step what was decided on, not null
     * @param request the request, not null
     * @param outcome what was decided, not null
     * @param inputs what decided it, not null
     * @return the decision, never null
     */
    public static Decision on(
            final String step, final RequestIdentifier request, final String outcome, final Input... inputs) {
        return new Decision(step, Optional.of(request), outcome, List.of(inputs));
    }

    /**
     * Creates a decision that concerns no request.
     *
     * @param step what was decided on, not null
     * @param outcome what was decided, not null
     * @param inputs what decided it, not null
     * @return the decision, never null
     */
    public static Decision of(final String step, final String outcome, final Input... inputs) {
        return new Decision(step, Optional.empty(), outcome, List.of(inputs));
    }

    /**
     * One input of a decision.
     *
     * @param name what it is, with its unit, not null
     * @param value its value as text, not null
     */
    public record Input(String name, String value) {
        /**
         * Creates an input.
         *
         * @param name what it is, with its unit, not null
         * @param value its value, not null
         * @return the input, never null
         */
        public static Input of(final String name, final Object value) {
            return new Input(name, String.valueOf(value));
        }
    }
}
