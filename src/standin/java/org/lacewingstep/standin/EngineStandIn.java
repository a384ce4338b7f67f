package org.lacewingstep.standin;

import java.util.Deque;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.sse.ServerSentEvents;
import ratpack.stream.Streams;

/** A model engine: prefill with hand-over, decode in a limited number of memory pieces, cancel, resume and load. */
final class EngineStandIn implements Action<Chain> {
    private static final int BYTES_PER_TOKEN = 3;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int TOKENS_PER_PIECE = 4096;

    private final AtomicInteger accepted = new AtomicInteger();
    private final AtomicInteger cancelled = new AtomicInteger();
    private final Deque<EngineFault> faults = new ConcurrentLinkedDeque<>();
    private final AtomicInteger keysSeen = new AtomicInteger();
    private final int pieces;
    private final AtomicInteger overcommitted = new AtomicInteger();
    private final long prefillMilliseconds;
    private final Map<String, Generation> running = new ConcurrentHashMap<>();
    private final AtomicLong seed = new AtomicLong();
    private final ArrayNode starts = MAPPER.createArrayNode();
    private final long tokenMilliseconds;

    private volatile boolean cold;
    private volatile String startIdentifier = UUID.randomUUID().toString();

    /**
     * Creates an engine.
     *
     * @param pieces pieces of KV memory
     * @param prefillMilliseconds time for a prompt in milliseconds
     * @param tokenMilliseconds time between tokens in milliseconds
     */
    EngineStandIn(final int pieces, final long prefillMilliseconds, final long tokenMilliseconds) {
        this.pieces = pieces;
        this.prefillMilliseconds = prefillMilliseconds;
        this.tokenMilliseconds = tokenMilliseconds;
    }

    @Override
    public void execute(final Chain chain) {
        chain.post("v1/completions", this::complete)
                .post("v1/requests/:id/cancel", this::cancel)
                .get("v1/requests/:id/stream", this::resume)
                .get("load", this::load)
                .get("standin/stats", this::stats)
                .get("standin/log", context -> context.getResponse().send("application/json", starts.toString()))
                .post("standin/fault/:kind/:tokens", context -> {
                    faults.add(EngineFault.of(
                            context.getPathTokens().get("kind"),
                            Integer.parseInt(context.getPathTokens().get("tokens"))));
                    context.getResponse().send("ok");
                })
                .post("standin/cold/:state", context -> {
                    cold = "on".equals(context.getPathTokens().get("state"));
                    startIdentifier = UUID.randomUUID().toString();
                    context.getResponse().send("ok");
                });
    }

    private void complete(final Context context) {
        context.getRequest().getBody().then(body -> {
            final JsonNode request = MAPPER.readTree(body.getText());
            accepted.incrementAndGet();
            if (context.getRequest().getHeaders().contains("Authorization")) {
                keysSeen.incrementAndGet();
            }
            if (request.path("kv_transfer_params").path("do_remote_decode").asBoolean()) {
                prefill(context);
            } else {
                decode(context, request);
            }
        });
    }

    private void prefill(final Context context) {
        final ObjectNode answer = MAPPER.createObjectNode().put("id", attempt(context));
        answer.putObject("kv_transfer_params")
                .put("do_remote_prefill", true)
                .put("remote_engine_id", startIdentifier)
                .put("remote_request_id", attempt(context))
                .putArray("remote_block_ids")
                .add(seed.incrementAndGet());
        if (faults.peek() instanceof EngineFault.Refuse) {
            faults.poll();
            context.getResponse().status(503).send("busy");
            return;
        }
        Promise.<Boolean>async(done -> context.getExecution()
                        .getController()
                        .getExecutor()
                        .schedule(() -> done.success(true), prefillMilliseconds, TimeUnit.MILLISECONDS))
                .then(ready -> context.getResponse().send("application/json", answer.toString()));
    }

    private void decode(final Context context, final JsonNode request) {
        final String prompt = request.path("prompt").asText();
        final long limit = request.path("max_tokens").asLong();
        final long tokens = prompt.length() / BYTES_PER_TOKEN + limit;
        final int needed = (int) Math.max(1, Math.ceilDiv(tokens, TOKENS_PER_PIECE));
        final Generation generation = new Generation(
                attempt(context), context.getRequest().getHeaders().get("X-Owner"), needed, prompt, limit);
        if (used() + needed > pieces) {
            overcommitted.incrementAndGet();
            context.getResponse().status(503).send("no memory");
            return;
        }
        running.put(generation.identifier(), generation);
        synchronized (starts) {
            starts.addObject()
                    .put("request", generation.identifier())
                    .put("at", System.currentTimeMillis())
                    .put("prompt", prompt)
                    .put("max_tokens", limit);
        }
        tick(context, generation);
        stream(context, generation, 0);
    }

    private void tick(final Context context, final Generation generation) {
        context.getExecution()
                .getController()
                .getExecutor()
                .schedule(
                        () -> {
                            generation.advance();
                            if (!generation.isEnded()) {
                                tick(context, generation);
                            }
                        },
                        tokenMilliseconds,
                        TimeUnit.MILLISECONDS);
    }

    private void stream(final Context context, final Generation generation, final int from) {
        final EngineStream frames = new EngineStream(generation, from, faults.poll(), () -> end(generation));
        context.render(ServerSentEvents.serverSentEvents(
                Streams.flatYield(turn -> frames.next(context)),
                event -> event.id(EngineStream.Frame::identifier).data(EngineStream.Frame::data)));
    }

    private void end(final Generation generation) {
        running.remove(generation.identifier());
    }

    private void cancel(final Context context) {
        final Generation generation = running.remove(context.getPathTokens().get("id"));
        if (generation != null) {
            cancelled.incrementAndGet();
            generation.cancel();
        }
        context.getResponse().send("ok");
    }

    private void resume(final Context context) {
        final Generation generation = running.get(context.getPathTokens().get("id"));
        if (generation == null) {
            context.getResponse().status(404).send("unknown");
            return;
        }
        stream(
                context,
                generation,
                Integer.parseInt(context.getRequest().getHeaders().get("Last-Event-ID")));
    }

    private void load(final Context context) {
        final ObjectNode report =
                MAPPER.createObjectNode().put("start_id", startIdentifier).put("cold", cold);
        final ArrayNode list = report.putArray("running");
        running.values().forEach(generation -> list.addObject()
                .put("id", generation.identifier())
                .put("owner", generation.owner())
                .put("pieces", generation.pieces()));
        context.getResponse().send("application/json", report.toString());
    }

    private void stats(final Context context) {
        final ObjectNode stats = MAPPER.createObjectNode()
                .put("accepted", accepted.get())
                .put("cancelled", cancelled.get())
                .put("keys_seen", keysSeen.get())
                .put("overcommitted", overcommitted.get())
                .put("used_pieces", used());
        context.getResponse().send("application/json", stats.toString());
    }

    private int used() {
        return running.values().stream().mapToInt(Generation::pieces).sum();
    }

    private static String attempt(final Context context) {
        return context.getRequest().getHeaders().get("X-Request-Id");
    }
}
