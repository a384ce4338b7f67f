package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Identifies one run of the process of an instance.
 *
 * @param instance the instance, not null
 * @param number the number of the run, unique for the instance
 */
public record Incarnation(InstanceName instance, long number) {
    /** Validates the components. */
    public Incarnation {
        Validate.notNull(instance, "instance");
    }

    /**
     * Parses the form of {@link #toString()}.
     *
     * @param text the text, not null
     * @return the incarnation, never null
     * @throws org.lacewingstep.error.RouterException if the text does not have this form
     */
    public static Incarnation parse(final String text) {
        final int slash = text.lastIndexOf('/');
        Validate.isTrue(slash > 0, "incarnation", "of the form instance/number");
        final String number = text.substring(slash + 1);
        Validate.isTrue(number.matches("-?\\d{1,18}"), "incarnation", "of the form instance/number");
        return new Incarnation(new InstanceName(text.substring(0, slash)), Long.parseLong(number));
    }

    @Override
    public String toString() {
        return instance + "/" + number;
    }
}
