package org.lacewingstep.traffic;

import java.net.ConnectException;

import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import org.lacewingstep.upstream.ExchangeFailure;

/** Tells what a failed call to an upstream means. */
final class CallFailure {
    private CallFailure() {}

    /**
     * Tells whether the upstream refused for want of capacity.
     *
     * @param failure the failure, not null
     * @return true if it did
     */
    static boolean isOverload(final Throwable failure) {
        return failure instanceof RouterException known && known.code() == ErrorCode.NO_CAPACITY;
    }

    /**
     * Tells whether any part of the call may have reached the upstream; only a connection that never stood is certain.
     *
     * @param failure the failure, not null
     * @return false if nothing was sent
     */
    static boolean mayHaveSent(final Throwable failure) {
        final boolean neverFound =
                failure instanceof RouterException known && known.code() == ErrorCode.SERVICE_UNKNOWN;
        final boolean unsent = failure instanceof ConnectException
                || failure instanceof ExchangeFailure broken && !broken.mayHaveSent();
        return !unsent && !neverFound;
    }

    /**
     * Creates the failure for an upstream that the configuration no longer has.
     *
     * @param name the upstream, not null
     * @return the failure, never null
     */
    static RouterException unknownUpstream(final UpstreamName name) {
        return new RouterException(
                ErrorCode.SERVICE_UNKNOWN, "find upstream", name.value(), "the configuration has no such upstream");
    }
}
