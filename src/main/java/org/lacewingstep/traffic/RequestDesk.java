package org.lacewingstep.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import io.netty.channel.ChannelFutureListener;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.RequestDemand;
import org.lacewingstep.domain.IdempotencyKey;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.ServiceSelector;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import ratpack.handling.Context;

/** Opens and closes requests for the handlers. */
public final class RequestDesk {
    private static final String BEARER = "Bearer ";

    private final Supplier<Instant> clock;
    private final AtomicLong count = new AtomicLong();
    private final Consumer<Event> events;
    private final InstructionRouter instructions;
    private final Incarnation self;
    private final Duration timeLimit;
    private final Function<UpstreamName, Optional<Upstream>> upstreams;

    /**
     * Creates a desk.
     *
     * @param self this process, not null
     * @param instructions the inboxes, not null
     * @param clock tells the present time, not null
     * @param timeLimit the longest life of a request, not null
     * @param upstreams finds upstreams by name, not null
     * @param events receives what callers do, not null
     */
    public RequestDesk(
            final Incarnation self,
            final InstructionRouter instructions,
            final Supplier<Instant> clock,
            final Duration timeLimit,
            final Function<UpstreamName, Optional<Upstream>> upstreams,
            final Consumer<Event> events) {
        this.self = self;
        this.instructions = instructions;
        this.clock = clock;
        this.timeLimit = timeLimit;
        this.upstreams = upstreams;
        this.events = events;
    }

    /**
     * Closes a request after its answer.
     *
     * @param request the request, not null
     */
    void close(final RequestIdentifier request) {
        instructions.close(request);
    }

    /**
     * Gets the receiver of events.
     *
     * @return the receiver, never null
     */
    Consumer<Event> events() {
        return events;
    }

    /**
     * Numbers a request.
     *
     * @return an identifier that no other request in the fleet has, never null
     */
    RequestIdentifier nextIdentifier() {
        final String run = Long.toString(self.number(), Character.MAX_RADIX);
        return new RequestIdentifier(self.instance() + "-" + run + "-" + count.incrementAndGet());
    }

    /**
     * Calls an action when the caller's connection closes.
     *
     * @param context the caller's context, not null
     * @param action the action, run on the connection's event loop, not null
     */
    void onDisconnect(final Context context, final Runnable action) {
        final ChannelFutureListener listener = closed -> action.run();
        context.getDirectChannelAccess().getChannel().closeFuture().addListener(listener);
        context.onClose(outcome ->
                context.getDirectChannelAccess().getChannel().closeFuture().removeListener(listener));
    }

    /**
     * Opens a request and hands it to the control thread.
     *
     * @param context the caller's context, not null
     * @param request the request, not null
     * @param selector the service meant, not null
     * @param promptTokens length of the prompt in tokens
     * @param outputTokens most tokens to generate
     * @return the instructions, never null
     */
    InstructionInbox open(
            final Context context,
            final RequestIdentifier request,
            final ServiceSelector selector,
            final long promptTokens,
            final long outputTokens) {
        final InstructionInbox inbox = instructions.open(request);
        final Instant deadline = clock.get().plus(timeLimit);
        events.accept(new Event.RequestReceived(new RequestDemand(
                request, selector, digest(context), idempotencyKey(context), promptTokens, outputTokens, deadline)));
        return inbox;
    }

    /**
     * Finds an upstream by name.
     *
     * @return the finder, never null
     */
    Function<UpstreamName, Optional<Upstream>> upstreams() {
        return upstreams;
    }

    private static Optional<IdempotencyKey> idempotencyKey(final Context context) {
        return Optional.ofNullable(context.getRequest().getHeaders().get("Idempotency-Key"))
                .filter(header -> !header.isBlank())
                .map(header -> new IdempotencyKey(KeyDigest.of(header).value()));
    }

    private static Optional<KeyDigest> digest(final Context context) {
        final String header = context.getRequest().getHeaders().get("Authorization");
        if (header == null || !header.startsWith(BEARER) || header.length() == BEARER.length()) {
            return Optional.empty();
        }
        return Optional.of(KeyDigest.of(header.substring(BEARER.length())));
    }
}
