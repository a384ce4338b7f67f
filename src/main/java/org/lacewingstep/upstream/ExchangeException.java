package org.lacewingstep.upstream;

/** Signals that an exchange with an upstream ended without a complete response. */
public final class ExchangeException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /**
     * Creates an exception from the last event of an exchange.
     *
     * @param event the last event of the exchange, not null
     */
    ExchangeException(final ExchangeEvent.Failed event) {
        super(event.reason());
        this.sent = event.sent();
    }

    /**
     * Returns whether the upstream may have received the request.
     *
     * @return false if no part of the request was sent
     */
    public boolean mayHaveSent() {
        return sent;
    }
}
