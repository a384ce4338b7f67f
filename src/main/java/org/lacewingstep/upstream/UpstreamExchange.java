package org.lacewingstep.upstream;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;

/** A request at an upstream until its answer is complete; used on one event loop. */
public final class UpstreamExchange {
    private final Consumer<ExchangeEvent> listener;
    private final EventLoop loop;
    private final ExchangeRequest request;

    private UpstreamConnection connection;
    private boolean ended;
    private long heardAt = System.nanoTime();
    private boolean quietReported;
    private ScheduledFuture<?> watch;

    /**
     * Creates an exchange.
     *
     * @param loop the event loop, not null
     * @param request the request, not null
     * @param listener receives what happens, not null
     */
    UpstreamExchange(final EventLoop loop, final ExchangeRequest request, final Consumer<ExchangeEvent> listener) {
        this.loop = loop;
        this.request = request;
        this.listener = listener;
    }

    /** Gives the exchange up: closes its connection, so that the upstream stops. */
    public void cancel() {
        if (!ended) {
            end();
            if (connection != null) {
                connection.close();
            }
        }
    }

    /**
     * Lets the answer flow or holds it back.
     *
     * @param reading whether more of the answer is wanted
     */
    public void setReading(final boolean reading) {
        if (!ended && connection != null) {
            connection.setReading(reading);
        }
    }

    /**
     * Gets the request.
     *
     * @return the request, never null
     */
    ExchangeRequest request() {
        return request;
    }

    /**
     * Tells whether nothing more is wanted.
     *
     * @return true after the end
     */
    boolean hasEnded() {
        return ended;
    }

    /**
     * Starts to wait for the answer.
     *
     * @param opened the connection that the request is written to, not null
     */
    void sentOver(final UpstreamConnection opened) {
        connection = opened;
        heardAt = System.nanoTime();
        watchSilence(request.quietLimit().toNanos());
    }

    /**
     * Reports an event.
     *
     * @param event the event, not null
     */
    void report(final ExchangeEvent event) {
        if (ended) {
            return;
        }
        heardAt = System.nanoTime();
        if (event instanceof ExchangeEvent.Complete || event instanceof ExchangeEvent.Failed) {
            end();
        }
        listener.accept(event);
    }

    private void end() {
        ended = true;
        if (watch != null) {
            watch.cancel(false);
        }
    }

    private void watchSilence(final long nanoseconds) {
        watch = loop.schedule(this::checkSilence, nanoseconds, TimeUnit.NANOSECONDS);
    }

    private void checkSilence() {
        if (ended) {
            return;
        }
        final long silent = System.nanoTime() - heardAt;
        final long quiet = request.quietLimit().toNanos();
        final long limit = request.silenceLimit().toNanos();
        if (silent >= limit) {
            connection.fellSilent();
        } else if (silent >= quiet && !quietReported) {
            quietReported = true;
            listener.accept(new ExchangeEvent.Quiet());
            watchSilence(Math.max(1, limit - silent));
        } else {
            watchSilence(Math.max(1, (quietReported ? limit : Math.min(quiet, limit)) - silent));
        }
    }
}
