package org.lacewingstep.upstream;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;

/** An exchange of one request and its response with an upstream; used on one event loop only. */
public final class UpstreamExchange {
    private final Consumer<ExchangeEvent> listener;
    private final EventLoop loop;
    private final ExchangeRequest request;

    private UpstreamConnection connection;
    private boolean ended;
    private long lastActivityNanos = System.nanoTime();
    private boolean stallReported;
    private ScheduledFuture<?> timeoutCheck;

    /**
     * Creates an exchange.
     *
     * @param loop the event loop, not null
     * @param request the request, not null
     * @param listener receives the events of the exchange, not null
     */
    UpstreamExchange(final EventLoop loop, final ExchangeRequest request, final Consumer<ExchangeEvent> listener) {
        this.loop = loop;
        this.request = request;
        this.listener = listener;
    }

    /** Cancels the exchange and closes its connection, so that the upstream stops processing the request. */
    public void cancel() {
        if (!ended) {
            end();
            if (connection != null) {
                connection.close();
            }
        }
    }

    /**
     * Resumes or pauses reading of the response; has no effect before a connection is assigned or after the end.
     *
     * @param reading true to resume, false to pause
     */
    public void setAutoRead(final boolean reading) {
        if (!ended && connection != null) {
            connection.setAutoRead(reading);
        }
    }

    /**
     * Returns the request.
     *
     * @return the request, never null
     */
    ExchangeRequest request() {
        return request;
    }

    /**
     * Returns whether the exchange is complete, failed or cancelled.
     *
     * @return true if no more events are reported
     */
    boolean hasEnded() {
        return ended;
    }

    /**
     * Assigns the connection and starts the timeouts of the response.
     *
     * @param opened the connection that carries the request, not null
     */
    void attach(final UpstreamConnection opened) {
        connection = opened;
        lastActivityNanos = System.nanoTime();
        scheduleTimeoutCheck(request.stallTimeout().toNanos());
    }

    /**
     * Reports an event to the listener, unless the exchange has ended, and restarts the timeouts.
     *
     * @param event the event, not null
     */
    void report(final ExchangeEvent event) {
        if (ended) {
            return;
        }
        lastActivityNanos = System.nanoTime();
        if (event instanceof ExchangeEvent.Complete || event instanceof ExchangeEvent.Failed) {
            end();
        }
        listener.accept(event);
    }

    private void end() {
        ended = true;
        if (timeoutCheck != null) {
            timeoutCheck.cancel(false);
        }
    }

    private void scheduleTimeoutCheck(final long delayNanos) {
        timeoutCheck = loop.schedule(this::checkTimeouts, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void checkTimeouts() {
        if (ended) {
            return;
        }
        final long elapsedNanos = System.nanoTime() - lastActivityNanos;
        final long stallTimeoutNanos = request.stallTimeout().toNanos();
        final long readTimeoutNanos = request.readTimeout().toNanos();
        if (elapsedNanos >= readTimeoutNanos) {
            connection.timeOut();
        } else if (elapsedNanos >= stallTimeoutNanos && !stallReported) {
            stallReported = true;
            listener.accept(new ExchangeEvent.Stalled());
            scheduleTimeoutCheck(Math.max(1, readTimeoutNanos - elapsedNanos));
        } else {
            scheduleTimeoutCheck(Math.max(
                    1,
                    (stallReported ? readTimeoutNanos : Math.min(stallTimeoutNanos, readTimeoutNanos)) - elapsedNanos));
        }
    }
}
