package org.lacewingstep.upstream;

import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;

/** An exchange of one request and its response with an upstream; used on one event loop only. */
public final class UpstreamExchange {
    /** Longest response to the router itself, in bytes; such responses are some hundred bytes long. */
    private static final long MAX_BYTES_TO_ROUTER = 64 * 1024;

    /** Longest response that is collected before it is passed on, in bytes. */
    private static final long MAX_BYTES_OF_RESPONSE = 4 * 1024 * 1024;

    /** Interval of the reports of a response that makes no progress, after its retry timeout. */
    private static final long STALL_REPORT_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

    private final BufferBudget budget;
    private final Consumer<ExchangeEvent> listener;
    private final EventLoop loop;
    private final ExchangeRequest request;

    private UpstreamConnection connection;
    private boolean ended;
    private long lastActivityNanos = System.nanoTime();
    private long ownBufferedBytes;
    private boolean paused;
    private long nextStallReportNanos;
    private ScheduledFuture<?> timeoutCheck;

    /**
     * Creates an exchange.
     *
     * @param loop the event loop, not null
     * @param request the request, not null
     * @param listener receives the events of the exchange, not null
     * @param budget the budget of all bodies in the process, not null
     */
    UpstreamExchange(
            final EventLoop loop,
            final ExchangeRequest request,
            final Consumer<ExchangeEvent> listener,
            final BufferBudget budget) {
        this.budget = budget;
        this.loop = loop;
        this.request = request;
        this.listener = listener;
        this.nextStallReportNanos = request.stallTimeout().toNanos();
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
     * Cancels an exchange whose response makes no progress, and closes the idle connections to its upstream, which may
     * be as silent.
     */
    public void cancelStalled() {
        if (!ended && connection != null) {
            connection.closeIdleNeighbors();
        }
        cancel();
    }

    /**
     * Resumes or pauses reading of the response; has no effect before a connection is assigned or after the end.
     *
     * @param reading true to resume, false to pause
     */
    public void setAutoRead(final boolean reading) {
        if (!ended && connection != null) {
            paused = !reading;
            restartTimeouts();
            connection.setAutoRead(reading);
        }
    }

    /**
     * Returns whether the exchange runs and its response has made progress since a stall was last reported.
     *
     * @return false if the exchange has ended or its response makes no progress
     */
    public boolean isProgressing() {
        return !ended && nextStallReportNanos == request.stallTimeout().toNanos();
    }

    /** Restarts the timeouts, because the response has made progress. */
    public void restartTimeouts() {
        lastActivityNanos = System.nanoTime();
        nextStallReportNanos = request.stallTimeout().toNanos();
    }

    /**
     * Counts bytes that are kept until the response is complete.
     *
     * @param bytes the number of bytes
     * @return false if this response or all bodies together are longer than permitted
     */
    boolean countBufferedBytes(final int bytes) {
        if (ended || ownBufferedBytes + bytes > maxBufferedBytes() || !budget.reserve(bytes)) {
            return false;
        }
        ownBufferedBytes += bytes;
        return true;
    }

    private long maxBufferedBytes() {
        return request.form() instanceof ResponseForm.ToRouter ? MAX_BYTES_TO_ROUTER : MAX_BYTES_OF_RESPONSE;
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
        scheduleTimeoutCheck(0);
    }

    /**
     * Reports an event to the listener, unless the exchange has ended. An event that is progress restarts the timeouts.
     *
     * @param event the event, not null
     */
    void report(final ExchangeEvent event) {
        if (ended) {
            return;
        }
        if (isProgress(event)) {
            restartTimeouts();
        }
        if (event instanceof ExchangeEvent.Complete || event instanceof ExchangeEvent.Failed) {
            end();
        }
        listener.accept(event);
    }

    private boolean isProgress(final ExchangeEvent event) {
        return switch (request.form()) {
            case ResponseForm.ToRouter() -> false;
            case ResponseForm.Collected() -> true;
            case ResponseForm.Streamed() -> !(event instanceof ExchangeEvent.Body);
        };
    }

    private void end() {
        ended = true;
        budget.release(ownBufferedBytes);
        ownBufferedBytes = 0;
        if (timeoutCheck != null) {
            timeoutCheck.cancel(false);
        }
    }

    private void scheduleTimeoutCheck(final long elapsedNanos) {
        final long nextNanos =
                Math.min(nextStallReportNanos, request.readTimeout().toNanos());
        timeoutCheck = loop.schedule(this::checkTimeouts, Math.max(1, nextNanos - elapsedNanos), TimeUnit.NANOSECONDS);
    }

    private void checkTimeouts() {
        if (ended) {
            return;
        }
        if (paused) {
            // The caller does not read, so the upstream cannot make progress.
            restartTimeouts();
        }
        final long elapsedNanos = System.nanoTime() - lastActivityNanos;
        if (elapsedNanos >= request.readTimeout().toNanos()) {
            connection.timeOut(Duration.ofNanos(elapsedNanos));
            return;
        }
        if (elapsedNanos >= nextStallReportNanos) {
            final long retryTimeoutNanos = request.retryTimeout().toNanos();
            nextStallReportNanos = elapsedNanos < retryTimeoutNanos
                    ? retryTimeoutNanos
                    : elapsedNanos + STALL_REPORT_INTERVAL_NANOSECONDS;
            listener.accept(new ExchangeEvent.Stalled(Duration.ofNanos(elapsedNanos)));
        }
        if (!ended) {
            scheduleTimeoutCheck(elapsedNanos);
        }
    }
}
