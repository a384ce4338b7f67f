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

/** Simulates a model engine: prefill with KV transfer, decode within limited KV memory, cancel, resume and load. */
final class EngineStandIn implements Action<Chain> {
    private static final int BYTES_PER_TOKEN = 3;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int TOKENS_PER_MEMORY_PIECE = 4096;

    private final AtomicInteger accepted = new AtomicInteger();
    private final AtomicInteger cancelled = new AtomicInteger();
    private final Deque<EngineFault> faults = new ConcurrentLinkedDeque<>();
    private final AtomicInteger requestsWithKey = new AtomicInteger();
    private final int memoryPieces;
    private final AtomicInteger memoryRefusals = new AtomicInteger();
    private final long prefillMilliseconds;
    private final Map<String, Generation> runningGenerations = new ConcurrentHashMap<>();
    private final AtomicLong lastBlockIdentifier = new AtomicLong();
    private final ArrayNode startLog = MAPPER.createArrayNode();
    private final long tokenMilliseconds;

    private volatile boolean cold;
    private volatile String startIdentifier = UUID.randomUUID().toString();

    /**
     * Creates an engine.
     *
     * @param memoryPieces the number of pieces of KV memory
     * @param prefillMilliseconds the duration of a prefill in milliseconds
     * @param tokenMilliseconds the time between two tokens in milliseconds
     */
    EngineStandIn(final int memoryPieces, final long prefillMilliseconds, final long tokenMilliseconds) {
        this.memoryPieces = memoryPieces;
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
                .get("standin/log", context -> context.getResponse().send("application/json", startLog.toString()))
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
                requestsWithKey.incrementAndGet();
            }
            if (request.path("kv_transfer_params").path("do_remote_decode").asBoolean()) {
                prefill(context);
            } else {
                decode(context, request);
            }
        });
    }

    private void prefill(final Context context) {
        final ObjectNode response = MAPPER.createObjectNode().put("id", attemptIdentifier(context));
        response.putObject("kv_transfer_params")
                .put("do_remote_prefill", true)
                .put("remote_engine_id", startIdentifier)
                .put("remote_request_id", attemptIdentifier(context))
                .putArray("remote_block_ids")
                .add(lastBlockIdentifier.incrementAndGet());
        if (faults.peek() instanceof EngineFault.Refuse) {
            faults.poll();
            context.getResponse().status(503).send("busy");
            return;
        }
        Promise.<Boolean>async(done -> context.getExecution()
                        .getController()
                        .getExecutor()
                        .schedule(() -> done.success(true), prefillMilliseconds, TimeUnit.MILLISECONDS))
                .then(ready -> context.getResponse().send("application/json", response.toString()));
    }

    private void decode(final Context context, final JsonNode request) {
        final String prompt = request.path("prompt").asText();
        final long maxTokens = request.path("max_tokens").asLong();
        final long tokens = prompt.length() / BYTES_PER_TOKEN + maxTokens;
        final int neededPieces = (int) Math.max(1, Math.ceilDiv(tokens, TOKENS_PER_MEMORY_PIECE));
        final Generation generation = new Generation(
                attemptIdentifier(context),
                context.getRequest().getHeaders().get("X-Owner"),
                neededPieces,
                prompt,
                maxTokens);
        if (usedPieces() + neededPieces > memoryPieces) {
            memoryRefusals.incrementAndGet();
            context.getResponse().status(503).send("no memory");
            return;
        }
        runningGenerations.put(generation.identifier(), generation);
        synchronized (startLog) {
            startLog.addObject()
                    .put("request", generation.identifier())
                    .put("at", System.currentTimeMillis())
                    .put("prompt", prompt)
                    .put("max_tokens", maxTokens);
        }
        scheduleNextToken(context, generation);
        stream(context, generation, 0);
    }

    private void scheduleNextToken(final Context context, final Generation generation) {
        context.getExecution()
                .getController()
                .getExecutor()
                .schedule(
                        () -> {
                            generation.advance();
                            if (!generation.isEnded()) {
                                scheduleNextToken(context, generation);
                            }
                        },
                        tokenMilliseconds,
                        TimeUnit.MILLISECONDS);
    }

    private void stream(final Context context, final Generation generation, final int firstIndex) {
        final EngineStream engineStream =
                new EngineStream(generation, firstIndex, faults.poll(), () -> removeGeneration(generation));
        context.render(ServerSentEvents.serverSentEvents(
                Streams.flatYield(yieldRequest -> engineStream.next(context)),
                event -> event.id(EngineStream.Frame::identifier).data(EngineStream.Frame::data)));
    }

    private void removeGeneration(final Generation generation) {
        runningGenerations.remove(generation.identifier());
    }

    private void cancel(final Context context) {
        final Generation generation =
                runningGenerations.remove(context.getPathTokens().get("id"));
        if (generation != null) {
            cancelled.incrementAndGet();
            generation.cancel();
        }
        context.getResponse().send("ok");
    }

    private void resume(final Context context) {
        final Generation generation =
                runningGenerations.get(context.getPathTokens().get("id"));
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
        final ArrayNode runningEntries = report.putArray("running");
        runningGenerations.values().forEach(generation -> runningEntries
                .addObject()
                .put("id", generation.identifier())
                .put("owner", generation.owner())
                .put("pieces", generation.memoryPieces()));
        context.getResponse().send("application/json", report.toString());
    }

    private void stats(final Context context) {
        final ObjectNode stats = MAPPER.createObjectNode()
                .put("accepted", accepted.get())
                .put("cancelled", cancelled.get())
                .put("keys_seen", requestsWithKey.get())
                .put("overcommitted", memoryRefusals.get())
                .put("used_pieces", usedPieces());
        context.getResponse().send("application/json", stats.toString());
    }

    private int usedPieces() {
        return runningGenerations.values().stream()
                .mapToInt(Generation::memoryPieces)
                .sum();
    }

    private static String attemptIdentifier(final Context context) {
        return context.getRequest().getHeaders().get("X-Request-Id");
    }
}
