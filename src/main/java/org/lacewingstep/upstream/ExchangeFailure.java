package org.lacewingstep.upstream;

/** Ends an exchange that broke off. */
public final class ExchangeFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /**
     * Creates a failure.
     *
     * @param failed what happened, not null
     */
    ExchangeFailure(final ExchangeEvent.Failed failed) {
        super(failed.reason());
        this.sent = failed.sent();
    }

    /**
     * Tells whether the upstream may have received the request.
     *
     * @return false if nothing was sent
     */
    public boolean mayHaveSent() {
        return sent;
    }
}
