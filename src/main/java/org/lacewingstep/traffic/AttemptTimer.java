package org.lacewingstep.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.WorkMeasurement;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.domain.WorkKind;

/** Measures the attempts of a call and posts how long finished work took; used on one event loop. */
final class AttemptTimer {
    /** Fewest events after the first whose duration shows how fast an upstream generates output. */
    private static final int MIN_MEASURED_EVENTS = 3;

    private final OpenCalls openCalls;
    private final RequestIdentifier request;
    private Instant sentAt = Instant.EPOCH;
    private Optional<Instant> firstEventAt = Optional.empty();
    private Instant lastEventAt = Instant.EPOCH;
    private int eventsAtFirst;
    private int eventsAtLast;

    /**
     * Creates a timer of a call that was not sent yet.
     *
     * @param openCalls posts events to the control thread, not null
     * @param request the identifier of the call, not null
     */
    AttemptTimer(final OpenCalls openCalls, final RequestIdentifier request) {
        this.openCalls = openCalls;
        this.request = request;
    }

    /** Starts the time of a request to an upstream. */
    void start() {
        sentAt = openCalls.now();
        firstEventAt = Optional.empty();
    }

    /**
     * Records that events of a stream have arrived.
     *
     * @param events the number of events of the call that have arrived so far
     * @return when the events arrived, never null
     */
    Instant recordEvents(final int events) {
        lastEventAt = openCalls.now();
        if (firstEventAt.isEmpty()) {
            firstEventAt = Optional.of(lastEventAt);
            eventsAtFirst = events;
        }
        eventsAtLast = events;
        return lastEventAt;
    }

    /**
     * Returns the time from the first to the last event of the attempt.
     *
     * @return the time, empty without events
     */
    Optional<Duration> progress() {
        return firstEventAt.map(first -> Duration.between(first, lastEventAt));
    }

    /**
     * Returns the time since the last request to an upstream.
     *
     * @return the time, never null
     */
    Duration elapsed() {
        return Duration.between(sentAt, openCalls.now());
    }

    /**
     * Posts how long an upstream took to process the prompt.
     *
     * @param upstream the upstream, not null
     */
    void postPrompt(final RegisteredUpstream upstream) {
        post(upstream, WorkKind.PROMPT_TOKEN, 1, elapsed());
    }

    /**
     * Posts how long a plain call took; nothing for the complete response of an engine.
     *
     * @param upstream the upstream, not null
     */
    void postCall(final RegisteredUpstream upstream) {
        if (upstream.role() == UpstreamRole.PLAIN) {
            post(upstream, WorkKind.PLAIN_CALL, 1, elapsed());
        }
    }

    /**
     * Posts how long the events after the first took, which does not depend on what the upstream did before.
     *
     * @param upstream the upstream, not null
     */
    void postStream(final RegisteredUpstream upstream) {
        final int events = eventsAtLast - eventsAtFirst;
        if (events >= MIN_MEASURED_EVENTS) {
            progress().ifPresent(duration -> post(upstream, WorkKind.OUTPUT_EVENT, events, duration));
        }
    }

    private void post(
            final RegisteredUpstream upstream, final WorkKind kind, final int units, final Duration duration) {
        final UpstreamStart start = new UpstreamStart(upstream.name(), upstream.startedAtMillis());
        openCalls.post(new Event.WorkMeasured(new WorkMeasurement(request, start, kind, units, duration)));
    }
}
