package org.lacewingstep.platform;

import java.net.URI;
import java.time.Duration;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.UpstreamRole;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;

/**
 * Sends orders to upstreams. An order that gets no response is not repeated, because the upstream may still carry it
 * out; the registry shows whether it did.
 */
public final class UpstreamOrderAdapter {
    private static final Logger LOGGER = LoggerFactory.getLogger(UpstreamOrderAdapter.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Timeout of an order: many times the latency between failure domains. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(800);

    private final ExecController execution;
    private final HttpClient httpClient;

    /**
     * Creates an adapter.
     *
     * @param httpClient the HTTP client, not null
     * @param execution runs the calls, not null
     */
    public UpstreamOrderAdapter(final HttpClient httpClient, final ExecController execution) {
        this.httpClient = httpClient;
        this.execution = execution;
    }

    /**
     * Orders an engine to change its role.
     *
     * @param engine the engine, not null
     * @param role the role that the engine is to take, not null
     * @param holder the instance that sends the order, not null
     * @param fence the fencing number of the order
     */
    public void orderRole(
            final RegisteredUpstream engine, final UpstreamRole role, final InstanceName holder, final long fence) {
        final String body = MAPPER.createObjectNode()
                .put("op", "stage")
                .put("stage", PlatformStoreCodec.stageName(role))
                .put("holder", holder.value())
                .put("fence", fence)
                .toString();
        execution
                .fork()
                .onError(failure -> log(engine, role, fence, failure.toString()))
                .start(started -> httpClient
                        .request(URI.create("http://" + engine.address() + "/order"), spec -> {
                            spec.readTimeout(RESPONSE_TIMEOUT);
                            spec.post();
                            spec.headers(headers -> headers.set(
                                    PlatformProtocol.EXPECT_INSTANCE,
                                    engine.name().value()));
                            spec.body(
                                    content -> content.type("application/json").text(body));
                        })
                        .then(response -> log(engine, role, fence, "status " + response.getStatusCode())));
    }

    private static void log(
            final RegisteredUpstream engine, final UpstreamRole role, final long fence, final String result) {
        LOGGER.atInfo()
                .addKeyValue("step", "order")
                .addKeyValue("upstream", engine.name())
                .addKeyValue("role", role)
                .addKeyValue("fence", fence)
                .log("order ended: {}", result);
    }
}
