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

/** A plain service that counts how often each body was executed. */
final class PlainStandIn implements Action<Chain> {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final AtomicBoolean dropNext = new AtomicBoolean();
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final AtomicInteger keysSeen = new AtomicInteger();
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
                .all(this::call);
    }

    private void call(final Context context) {
        context.getRequest().getBody().then(body -> {
            if (context.getRequest().getHeaders().contains("Authorization")) {
                keysSeen.incrementAndGet();
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
        final ObjectNode stats = MAPPER.createObjectNode().put("keys_seen", keysSeen.get());
        final ObjectNode counts = stats.putObject("executions");
        executions.forEach((body, count) -> counts.put(body, count.get()));
        context.getResponse().send("application/json", stats.toString());
    }
}
