package org.lacewingstep.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.upstream.UpstreamPool;

/** The calls that are open, and what they share: connections, clock, and the way to the control thread. */
public final class CallDesk {
    private final Class<? extends SocketChannel> channelType;
    private final Supplier<Instant> clock;
    private final AtomicLong count = new AtomicLong();
    private final CallDialect dialect;
    private final BooleanSupplier draining;
    private final Consumer<Event> events;
    private final CallMetrics metrics;
    private final ConcurrentMap<EventLoop, UpstreamPool> pools = new ConcurrentHashMap<>();
    private final ConcurrentMap<RequestIdentifier, CallSession> sessions = new ConcurrentHashMap<>();

    /**
     * Creates a desk.
     *
     * @param dialect translates messages, not null
     * @param channelType the type of channels of the event loops, not null
     * @param clock tells the present time, not null
     * @param events receives what happens, not null
     * @param draining tells whether the process is about to stop, not null
     * @param metrics counts answers, not null
     */
    public CallDesk(
            final CallDialect dialect,
            final Class<? extends SocketChannel> channelType,
            final Supplier<Instant> clock,
            final Consumer<Event> events,
            final BooleanSupplier draining,
            final CallMetrics metrics) {
        this.dialect = dialect;
        this.channelType = channelType;
        this.clock = clock;
        this.events = events;
        this.draining = draining;
        this.metrics = metrics;
    }

    /**
     * Delivers an instruction; it is dropped if the call is not open.
     *
     * @param request the request, not null
     * @param instruction the instruction, not null
     */
    public void deliver(final RequestIdentifier request, final CallInstruction instruction) {
        final CallSession session = sessions.get(request);
        if (session != null) {
            session.deliver(instruction);
        }
    }

    /**
     * Counts the open calls.
     *
     * @return the number
     */
    public int size() {
        return sessions.size();
    }

    /**
     * Opens a call.
     *
     * @param received the caller's request, not null
     * @param loop the event loop of the caller's connection, not null
     * @return the session, never null
     */
    CallSession open(final CallerRequest received, final EventLoop loop) {
        final String name = dialect.callerIdentifier(received).orElse("unnamed");
        final RequestIdentifier request = new RequestIdentifier(name + "-" + count.incrementAndGet());
        final UpstreamPool pool = pools.computeIfAbsent(loop, key -> new UpstreamPool(key, channelType));
        final CallSession session = new CallSession(this, request, received, loop, pool);
        sessions.put(request, session);
        return session;
    }

    /**
     * Closes a call.
     *
     * @param request the request, not null
     * @param status the status answered, zero if the caller left first
     * @param took the time since it was read, not null
     */
    void close(final RequestIdentifier request, final int status, final Duration took) {
        if (sessions.remove(request) != null) {
            metrics.answered(status, took);
        }
    }

    /**
     * Gets the translator of messages.
     *
     * @return the dialect, never null
     */
    CallDialect dialect() {
        return dialect;
    }

    /**
     * Tells whether the process is about to stop.
     *
     * @return true if connections should not be used again
     */
    boolean isDraining() {
        return draining.getAsBoolean();
    }

    /**
     * Reads the clock.
     *
     * @return the present time, never null
     */
    Instant now() {
        return clock.get();
    }

    /**
     * Hands an event to the control thread.
     *
     * @param event the event, not null
     */
    void post(final Event event) {
        events.accept(event);
    }
}
