package org.lacewingstep.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponse;
import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.UpstreamNotice;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.upstream.UpstreamPool;
import org.lacewingstep.upstream.UpstreamPools;

/**
 * Registers open calls, delivers instructions to them and posts their events to the control thread; also holds the
 * connection pools, the protocol, the clock and the metrics that all calls share.
 */
public final class OpenCalls {
    private final Supplier<Instant> clock;
    private final AtomicLong callCount = new AtomicLong();
    private final CallProtocol protocol;
    private final BooleanSupplier closeConnections;
    private final Consumer<Event> events;
    private final UpstreamChecks checks;
    private final CallMetrics metrics;
    private final UpstreamPools pools;
    private final ConcurrentMap<RequestIdentifier, CallSession> sessions = new ConcurrentHashMap<>();

    /**
     * Creates a registry without open calls.
     *
     * @param protocol translates between HTTP messages and the types of the control thread, not null
     * @param pools the connection pools for upstreams, one for each event loop, not null
     * @param clock supplies the current time, not null
     * @param events receives the events for the control thread, not null
     * @param closeConnections returns whether callers should reconnect to other instances, not null
     * @param checks what the newest blackboard says about upstreams, not null
     * @param metrics the counters and latencies of calls, not null
     */
    public OpenCalls(
            final CallProtocol protocol,
            final UpstreamPools pools,
            final Supplier<Instant> clock,
            final Consumer<Event> events,
            final BooleanSupplier closeConnections,
            final UpstreamChecks checks,
            final CallMetrics metrics) {
        this.protocol = protocol;
        this.pools = pools;
        this.clock = clock;
        this.events = events;
        this.closeConnections = closeConnections;
        this.checks = checks;
        this.metrics = metrics;
    }

    /**
     * Delivers an instruction to an open call; an instruction for a call that is not open is dropped.
     *
     * @param request the request's identifier, not null
     * @param instruction what the call does next, not null
     */
    public void deliver(final RequestIdentifier request, final CallInstruction instruction) {
        final CallSession session = sessions.get(request);
        if (session != null) {
            session.deliver(instruction);
        }
    }

    /**
     * Returns the number of open calls.
     *
     * @return the number of open calls
     */
    public int size() {
        return sessions.size();
    }

    /**
     * Registers a new call.
     *
     * @param callerRequest the request that was read from the caller, not null
     * @param channel the caller's connection, not null
     * @return the session that handles the call, never null
     */
    CallSession open(final CallerRequest callerRequest, final Channel channel) {
        final String callerName = protocol.callerIdentifier(callerRequest).orElse("unnamed");
        final RequestIdentifier request = new RequestIdentifier(callerName + "-" + callCount.incrementAndGet());
        final UpstreamPool pool = pools.poolFor(channel.eventLoop());
        final CallSession session = new CallSession(this, request, callerRequest, channel, pool);
        sessions.put(request, session);
        return session;
    }

    /**
     * Unregisters a call and records its status and latency.
     *
     * @param request the request's identifier, not null
     * @param status the HTTP status of the response, zero if the caller disconnected before the response
     * @param latency the time since the request was read, not null
     */
    void close(final RequestIdentifier request, final int status, final Duration latency) {
        if (sessions.remove(request) != null) {
            metrics.recordResponse(status, latency);
        }
    }

    /**
     * Returns the counters and latencies of calls.
     *
     * @return the metrics, never null
     */
    CallMetrics metrics() {
        return metrics;
    }

    /**
     * Returns the translator of HTTP messages.
     *
     * @return the protocol, never null
     */
    CallProtocol protocol() {
        return protocol;
    }

    /**
     * Returns whether responses close the connection, so that callers reconnect to another instance.
     *
     * @return true if the caller's connection should not be reused after the response
     */
    boolean closesConnections() {
        return closeConnections.getAsBoolean();
    }

    /**
     * Returns the current time.
     *
     * @return the current time, never null
     */
    Instant now() {
        return clock.get();
    }

    /**
     * Posts an event to the control thread.
     *
     * @param event the event to post, not null
     */
    void post(final Event event) {
        events.accept(event);
    }

    /**
     * Returns whether an upstream may be sent a request now; it may have announced otherwise since it was chosen.
     *
     * @param upstream the upstream, not null
     * @return true if the request may be sent
     */
    boolean acceptsRequests(final RegisteredUpstream upstream) {
        return checks.acceptsRequests().test(upstream);
    }

    /**
     * Posts what an upstream announces about itself in a response; a response without a rate ends a limit.
     *
     * @param request the request that the response belongs to, not null
     * @param upstream the upstream that sent the response, not null
     * @param response the status line and headers of the response, not null
     */
    void postNotice(final RequestIdentifier request, final RegisteredUpstream upstream, final HttpResponse response) {
        final UpstreamNotice notice = protocol.decodeNotice(request, upstream, response);
        if (notice.isPresent() || checks.isLimited().test(upstream)) {
            events.accept(new Event.UpstreamNoticeReceived(notice));
        }
    }
}
