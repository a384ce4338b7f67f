package org.lacewingstep.upstream;

import java.util.function.Consumer;

import org.lacewingstep.blackboard.Event;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamRole;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.exec.ExecController;

/** Cancels attempts and fetches load reports at upstreams, independently of any running request. */
public final class UpstreamAdapter {
    private static final Logger LOGGER = LoggerFactory.getLogger(UpstreamAdapter.class);

    private final EngineClient engineClient;
    private final Consumer<Event> events;
    private final ExecController execution;

    /**
     * Creates an adapter.
     *
     * @param engineClient sends the requests to the upstreams, not null
     * @param events receives the load reports, not null
     * @param execution runs the calls, not null
     */
    public UpstreamAdapter(
            final EngineClient engineClient, final Consumer<Event> events, final ExecController execution) {
        this.engineClient = engineClient;
        this.events = events;
        this.execution = execution;
    }

    /**
     * Cancels an attempt at an engine; does nothing for plain services, which have no cancel request.
     *
     * @param upstream the upstream, not null
     * @param attempt the attempt, not null
     */
    public void cancel(final Upstream upstream, final AttemptIdentifier attempt) {
        if (upstream.role() == UpstreamRole.PLAIN) {
            return;
        }
        execution
                .fork()
                .onError(failure -> LOGGER.atInfo()
                        .addKeyValue("request", attempt)
                        .addKeyValue("step", "cancel")
                        .addKeyValue("peer", upstream.name())
                        .log("cannot cancel the attempt: {}", failure.toString()))
                .start(started -> engineClient
                        .cancel(upstream, attempt)
                        .then(status ->
                                LOGGER.debug("cancelled {} at {}, status {}", attempt, upstream.name(), status)));
    }

    /**
     * Fetches the load report of an upstream and posts it as an event.
     *
     * @param upstream the upstream, not null
     */
    public void fetchLoad(final Upstream upstream) {
        execution
                .fork()
                .onError(
                        failure -> LOGGER.debug("cannot fetch the load of {}: {}", upstream.name(), failure.toString()))
                .start(started -> engineClient
                        .fetchLoad(upstream)
                        .then(report -> events.accept(new Event.LoadReported(upstream.name(), report))));
    }
}
