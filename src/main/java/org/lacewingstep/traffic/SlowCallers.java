package org.lacewingstep.traffic;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import org.lacewingstep.upstream.BufferBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.handling.Context;

/** Cuts callers that hold memory for a large body and do not send or read it; used on event loops. */
final class SlowCallers {
    private static final int CHECK_SECONDS = 1;
    private static final Logger LOGGER = LoggerFactory.getLogger(SlowCallers.class);

    private final BufferBudget budget;
    private final OpenCalls openCalls;

    /**
     * Creates a watch over the callers of this instance.
     *
     * @param openCalls supplies clock and metrics, not null
     * @param budget the budget of all bodies in the process, not null
     */
    SlowCallers(final OpenCalls openCalls, final BufferBudget budget) {
        this.openCalls = openCalls;
        this.budget = budget;
    }

    /**
     * Watches a body in the course of arrival.
     *
     * @param channel the caller's connection, not null
     * @param buffer collects the body, not null
     */
    void watchBody(final Channel channel, final BodyBuffer buffer) {
        check(channel, start(), budget.refusals(), buffer::length, buffer::isComplete);
    }

    /**
     * Counts a response until its caller has read it or has gone, and watches a large one.
     *
     * @param context the Ratpack context of the caller's request, not null
     * @param bytes the length of the response
     */
    void watchResponse(final Context context, final int bytes) {
        if (bytes <= BufferBudget.SMALL_BYTES) {
            return;
        }
        final Channel channel = context.getDirectChannelAccess().getChannel();
        final UnreadResponse response = new UnreadResponse(budget, bytes);
        context.onClose(outcome -> response.close());
        channel.closeFuture().addListener(closed -> response.close());
        check(channel, start(), budget.refusals(), () -> writtenBytes(channel), response::isClosed);
    }

    private TransferProgress start() {
        return TransferProgress.start(openCalls.now());
    }

    private void check(
            final Channel channel,
            final TransferProgress progress,
            final long knownRefusals,
            final LongSupplier position,
            final BooleanSupplier ended) {
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (ended.getAsBoolean() || !channel.isActive()) {
                                return;
                            }
                            final TransferProgress next = progress.at(position.getAsLong(), openCalls.now());
                            final long refusals = budget.refusals();
                            if (next.isTooSlow(refusals > knownRefusals, openCalls.now())) {
                                cut(channel, next);
                            } else {
                                check(channel, next, refusals, position, ended);
                            }
                        },
                        CHECK_SECONDS,
                        TimeUnit.SECONDS);
    }

    private void cut(final Channel channel, final TransferProgress progress) {
        openCalls.metrics().countSlowCaller();
        LOGGER.atInfo()
                .addKeyValue("step", "caller")
                .addKeyValue("started", progress.startedAt())
                .addKeyValue("moved", progress.movedAt())
                .addKeyValue("bodies", budget.reservedBytes())
                .log("cut: too slow for the memory that it holds");
        channel.close();
    }

    /** Computes a number that changes with each byte that is written to the caller. */
    private static long writtenBytes(final Channel channel) {
        final ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        return outbound == null ? 0 : outbound.currentProgress() - outbound.totalPendingWriteBytes();
    }

    /** A response that was passed to the caller's connection. */
    private static final class UnreadResponse {
        private final BufferBudget budget;
        private final int bytes;
        private boolean closed;

        UnreadResponse(final BufferBudget budget, final int bytes) {
            this.budget = budget;
            this.bytes = bytes;
            budget.reserveKept(bytes);
        }

        void close() {
            if (!closed) {
                closed = true;
                budget.release(bytes);
            }
        }

        boolean isClosed() {
            return closed;
        }
    }
}
