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
import org.lacewingstep.blackboard.RequestParameters;
import org.lacewingstep.domain.IdempotencyKey;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.ServiceSelector;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import ratpack.handling.Context;

/** Registers open requests and posts their events to the control thread. */
public final class OpenRequests {
    private static final String BEARER_PREFIX = "Bearer ";

    private final Supplier<Instant> clock;
    private final AtomicLong requestCount = new AtomicLong();
    private final Consumer<Event> events;
    private final InstructionRouter instructions;
    private final Incarnation self;
    private final Duration timeLimit;
    private final Function<UpstreamName, Optional<Upstream>> upstreams;

    /**
     * Creates a registry without open requests.
     *
     * @param self the incarnation of this process, part of request identifiers, not null
     * @param instructions the inboxes of open requests, not null
     * @param clock supplies the current time, not null
     * @param timeLimit the time from the arrival of a request to its deadline, not null
     * @param upstreams finds an upstream by name, not null
     * @param events receives the events for the control thread, not null
     */
    public OpenRequests(
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
     * Unregisters a request after its response.
     *
     * @param request the request's identifier, not null
     */
    void close(final RequestIdentifier request) {
        instructions.close(request);
    }

    /**
     * Returns the receiver of events for the control thread.
     *
     * @return the receiver of events, never null
     */
    Consumer<Event> events() {
        return events;
    }

    /**
     * Creates the identifier of a new request.
     *
     * @return an identifier that no other request in the fleet has, never null
     */
    RequestIdentifier nextIdentifier() {
        final String incarnationText = Long.toString(self.number(), Character.MAX_RADIX);
        return new RequestIdentifier(self.instance() + "-" + incarnationText + "-" + requestCount.incrementAndGet());
    }

    /**
     * Registers an action that runs if the caller's connection closes before the response is complete.
     *
     * @param context the Ratpack context of the caller's request, not null
     * @param action runs on the connection's event loop, not null
     */
    void onDisconnect(final Context context, final Runnable action) {
        final ChannelFutureListener listener = closed -> action.run();
        context.getDirectChannelAccess().getChannel().closeFuture().addListener(listener);
        context.onClose(outcome ->
                context.getDirectChannelAccess().getChannel().closeFuture().removeListener(listener));
    }

    /**
     * Registers a request and posts its arrival to the control thread.
     *
     * @param context the Ratpack context of the caller's request, not null
     * @param request the request's identifier, not null
     * @param selector selects the service by model or path, not null
     * @param promptTokens the length of the prompt in tokens
     * @param outputTokens the largest number of tokens to generate
     * @return the inbox for the request's instructions, never null
     */
    InstructionInbox open(
            final Context context,
            final RequestIdentifier request,
            final ServiceSelector selector,
            final long promptTokens,
            final long outputTokens) {
        final InstructionInbox inbox = instructions.open(request);
        final Instant deadline = clock.get().plus(timeLimit);
        events.accept(new Event.RequestReceived(new RequestParameters(
                request, selector, keyDigest(context), idempotencyKey(context), promptTokens, outputTokens, deadline)));
        return inbox;
    }

    /**
     * Returns the function that finds an upstream by name.
     *
     * @return the function, whose result is empty if no upstream has the name, never null
     */
    Function<UpstreamName, Optional<Upstream>> upstreams() {
        return upstreams;
    }

    private static Optional<IdempotencyKey> idempotencyKey(final Context context) {
        return Optional.ofNullable(context.getRequest().getHeaders().get("Idempotency-Key"))
                .filter(header -> !header.isBlank())
                .map(header -> new IdempotencyKey(KeyDigest.of(header).value()));
    }

    private static Optional<KeyDigest> keyDigest(final Context context) {
        final String header = context.getRequest().getHeaders().get("Authorization");
        if (header == null || !header.startsWith(BEARER_PREFIX) || header.length() == BEARER_PREFIX.length()) {
            return Optional.empty();
        }
        return Optional.of(KeyDigest.of(header.substring(BEARER_PREFIX.length())));
    }
}
