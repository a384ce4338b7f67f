package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Identifier of one attempt of a request; sent to upstreams as the identifier of the request.
 *
 * @param request the request, not null
 * @param number the number of the attempt, starting at one
 */
public record AttemptIdentifier(RequestIdentifier request, int number) {
    /** Validates the components. */
    public AttemptIdentifier {
        Validate.notNull(request, "request");
        Validate.isTrue(number > 0, "attempt", "more than zero");
    }

    /**
     * Parses the form of {@link #toString()}.
     *
     * @param text the text, not null
     * @return the identifier, never null
     * @throws org.lacewingstep.error.RouterException if the text does not have this form
     */
    public static AttemptIdentifier parse(final String text) {
        final int dot = text.lastIndexOf('.');
        Validate.isTrue(
                dot > 0 && text.substring(dot + 1).matches("\\d{1,6}"), "attempt", "of the form request.number");
        return new AttemptIdentifier(
                new RequestIdentifier(text.substring(0, dot)), Integer.parseInt(text.substring(dot + 1)));
    }

    @Override
    public String toString() {
        return request + "." + number;
    }
}
