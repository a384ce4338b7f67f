package org.lacewingstep.traffic;

import java.net.ConnectException;

import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import org.lacewingstep.upstream.ExchangeException;

/** Classifies the failures of requests to upstreams. */
final class UpstreamFailures {
    private UpstreamFailures() {}

    /**
     * Checks whether the upstream refused the request for lack of capacity.
     *
     * @param failure the cause of the failed request, not null
     * @return true for a {@link RouterException} with the code {@link ErrorCode#NO_CAPACITY}
     */
    static boolean isOverload(final Throwable failure) {
        return failure instanceof RouterException routerException && routerException.code() == ErrorCode.NO_CAPACITY;
    }

    /**
     * Checks whether any part of a request may have reached the upstream. A request has certainly not reached the
     * upstream if the upstream is unknown, if the connection failed, or if the exchange failed before sending.
     *
     * @param failure the cause of the failed request, not null
     * @return false if nothing was sent to the upstream
     */
    static boolean mayHaveSent(final Throwable failure) {
        final boolean unknown = failure instanceof RouterException routerException
                && routerException.code() == ErrorCode.SERVICE_UNKNOWN;
        final boolean unsent = failure instanceof ConnectException
                || failure instanceof ExchangeException exchangeException && !exchangeException.mayHaveSent();
        return !unsent && !unknown;
    }

    /**
     * Creates the failure for an upstream that the configuration no longer has.
     *
     * @param name the upstream's name, not null
     * @return an exception with the code {@link ErrorCode#SERVICE_UNKNOWN}, never null
     */
    static RouterException unknownUpstream(final UpstreamName name) {
        return new RouterException(
                ErrorCode.SERVICE_UNKNOWN, "find upstream", name.value(), "the configuration has no such upstream");
    }
}
