package org.lacewingstep.traffic;

import org.lacewingstep.domain.RequestIdentifier;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Context;

/** Answers with an error when a handler fails unexpectedly. */
public final class UnexpectedErrors implements ServerErrorHandler {
    private static final RequestIdentifier UNKNOWN = new RequestIdentifier("unknown");

    @Override
    public void error(final Context context, final Throwable failure) {
        ErrorAnswer.send(context, UNKNOWN, failure);
    }
}
