package org.lacewingstep.traffic;

import org.lacewingstep.domain.RequestIdentifier;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Context;

/** Sends an error response when a handler throws an exception that it does not handle itself. */
public final class UnexpectedErrors implements ServerErrorHandler {
    private static final RequestIdentifier UNKNOWN = new RequestIdentifier("unknown");

    @Override
    public void error(final Context context, final Throwable failure) {
        ErrorResponse.send(context, UNKNOWN, failure);
    }
}
