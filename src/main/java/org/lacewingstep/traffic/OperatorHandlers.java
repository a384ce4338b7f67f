package org.lacewingstep.traffic;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lacewingstep.blackboard.Blackboard;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * Serves the HTTP endpoints for operators and the platform: liveness, readiness, state and metrics.
 *
 * @param board supplies the last published blackboard, not null
 * @param metrics the registry of the metrics, not null
 */
public record OperatorHandlers(Supplier<Blackboard> board, MetricRegistry metrics) implements Action<Chain> {
    private static final int HTTP_OK = 200;
    private static final int HTTP_UNAVAILABLE = 503;
    private static final String JSON = "application/json";
    private static final ObjectMapper MAPPER =
            new ObjectMapper().registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MICROSECONDS, false));

    @Override
    public void execute(final Chain chain) {
        chain.get("live", this::live)
                .get("ready", this::ready)
                .get("state", context -> context.getResponse().send(JSON, StateDump.of(board.get())))
                .get("metrics.txt", context -> context.getResponse().send("text/plain", MetricsText.of(metrics)))
                .get("metrics", context -> context.getResponse().send(JSON, MAPPER.writeValueAsString(metrics)));
    }

    private void live(final Context context) {
        final ObjectNode body = MAPPER.createObjectNode()
                .put("instance", board.get().identity().name().value())
                .put("incarnation", board.get().identity().incarnation().number())
                .put("stage", board.get().lifecycle().stage().getClass().getSimpleName());
        context.getResponse().send(JSON, body.toString());
    }

    private void ready(final Context context) {
        final boolean ready = board.get().lifecycle().isReady();
        context.getResponse().status(ready ? HTTP_OK : HTTP_UNAVAILABLE);
        context.getResponse().send(ready ? "ready" : "not ready");
    }
}
