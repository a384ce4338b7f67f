package org.lacewingstep.standin;

import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** Simulates a plain service that counts the executions of each request body. */
final class PlainStandIn implements Action<Chain> {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final AtomicBoolean dropNext = new AtomicBoolean();
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final AtomicInteger requestsWithKey = new AtomicInteger();
    private final String startIdentifier = UUID.randomUUID().toString();

    @Override
    public void execute(final Chain chain) {
        chain.get("load", context -> {
                    final ObjectNode report = MAPPER.createObjectNode()
                            .put("start_id", startIdentifier)
                            .put("cold", false);
                    report.putArray("running");
                    context.getResponse().send("application/json", report.toString());
                })
                .get("standin/stats", this::stats)
                .post("standin/drop-next", context -> {
                    dropNext.set(true);
                    context.getResponse().send("ok");
                })
                .all(this::handleCall);
    }

    private void handleCall(final Context context) {
        context.getRequest().getBody().then(body -> {
            if (context.getRequest().getHeaders().contains("Authorization")) {
                requestsWithKey.incrementAndGet();
            }
            final int count = executions
                    .computeIfAbsent(body.getText(), key -> new AtomicInteger())
                    .incrementAndGet();
            if (dropNext.compareAndSet(true, false)) {
                context.getDirectChannelAccess().getChannel().close();
                return;
            }
            context.getResponse().send("text/plain", "done " + count + " " + body.getText());
        });
    }

    private void stats(final Context context) {
        final ObjectNode stats = MAPPER.createObjectNode().put("keys_seen", requestsWithKey.get());
        final ObjectNode counts = stats.putObject("executions");
        executions.forEach((body, count) -> counts.put(body, count.get()));
        context.getResponse().send("application/json", stats.toString());
    }
}
