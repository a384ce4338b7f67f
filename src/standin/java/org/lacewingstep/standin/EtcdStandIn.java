package org.lacewingstep.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** Simulates the parts of etcd's JSON gateway that the router uses: range, put, delete, compare-and-swap and leases. */
final class EtcdStandIn implements Action<Chain> {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    private final Map<Long, Lease> leases = new HashMap<>();
    private final NavigableMap<String, Entry> entries = new TreeMap<>();

    private long calls;
    private boolean dropResponses;
    private long nextLease = 1000;
    private boolean outage;
    private long revision = 1;

    @Override
    public void execute(final Chain chain) {
        chain.post("v3/kv/range", context -> respond(context, this::range))
                .post("v3/kv/put", context -> respond(context, this::put))
                .post("v3/kv/txn", context -> respond(context, this::transact))
                .post("v3/kv/deleterange", context -> respond(context, this::delete))
                .post("v3/lease/grant", context -> respond(context, this::grant))
                .post("v3/lease/keepalive", context -> respond(context, this::keepAlive))
                .post("standin/outage/:state", context -> {
                    outage = "on".equals(context.getPathTokens().get("state"));
                    context.getResponse().send("ok");
                })
                .post("standin/drop/:state", context -> {
                    dropResponses = "on".equals(context.getPathTokens().get("state"));
                    context.getResponse().send("ok");
                })
                .get("standin/calls", context -> context.getResponse().send(Long.toString(calls)));
    }

    private void respond(final Context context, final Operation operation) {
        context.getRequest().getBody().then(body -> {
            if (outage) {
                context.getResponse().status(503).send("unavailable");
                return;
            }
            final String result = apply(operation, MAPPER.readTree(body.getText()));
            if (dropResponses) {
                context.getDirectChannelAccess().getChannel().close();
                return;
            }
            context.getResponse().send("application/json", result);
        });
    }

    private synchronized String apply(final Operation operation, final JsonNode request) throws IOException {
        calls++;
        expireLeases();
        final ObjectNode result = operation.apply(request);
        result.putObject("header").put("revision", Long.toString(revision));
        return result.toString();
    }

    private void expireLeases() {
        final long now = System.nanoTime();
        leases.entrySet().removeIf(lease -> {
            final boolean expired =
                    now - lease.getValue().renewedAt() > lease.getValue().seconds() * NANOSECONDS_PER_SECOND;
            if (expired) {
                entries.values().removeIf(entry -> entry.lease() == lease.getKey());
            }
            return expired;
        });
    }

    private ObjectNode delete(final JsonNode request) throws IOException {
        final boolean existed = entries.remove(decodeText(request.path("key"))) != null;
        return MAPPER.createObjectNode().put("deleted", existed ? "1" : "0");
    }

    private ObjectNode grant(final JsonNode request) {
        final long lease = nextLease++;
        final long seconds = request.path("TTL").asLong();
        leases.put(lease, new Lease(seconds, System.nanoTime()));
        return MAPPER.createObjectNode().put("ID", Long.toString(lease)).put("TTL", Long.toString(seconds));
    }

    private ObjectNode keepAlive(final JsonNode request) {
        final long identifier = request.path("ID").asLong();
        final Lease lease = leases.get(identifier);
        final ObjectNode response = MAPPER.createObjectNode();
        final ObjectNode result = response.putObject("result").put("ID", Long.toString(identifier));
        if (lease != null) {
            leases.put(identifier, new Lease(lease.seconds(), System.nanoTime()));
            result.put("TTL", Long.toString(lease.seconds()));
        }
        return response;
    }

    private ObjectNode put(final JsonNode request) throws IOException {
        revision++;
        final Entry entry = new Entry(
                request.path("value").binaryValue(),
                revision,
                request.path("lease").asLong());
        entries.put(decodeText(request.path("key")), entry);
        return MAPPER.createObjectNode();
    }

    private ObjectNode range(final JsonNode request) throws IOException {
        final String key = decodeText(request.path("key"));
        final NavigableMap<String, Entry> matches = request.has("range_end")
                ? entries.subMap(key, true, decodeText(request.path("range_end")), false)
                : entries.subMap(key, true, key, true);
        final ObjectNode response = MAPPER.createObjectNode();
        final ArrayNode pairs = response.putArray("kvs");
        matches.forEach((name, entry) -> pairs.addObject()
                .put("key", Base64.getEncoder().encodeToString(name.getBytes(StandardCharsets.UTF_8)))
                .put("value", entry.value())
                .put("mod_revision", Long.toString(entry.revision())));
        response.put("count", Integer.toString(matches.size()));
        return response;
    }

    private ObjectNode transact(final JsonNode request) throws IOException {
        boolean succeeded = true;
        for (final JsonNode compare : request.path("compare")) {
            final Entry entry = entries.get(decodeText(compare.path("key")));
            final long actual = entry == null ? 0 : entry.revision();
            succeeded &= actual == compare.path("mod_revision").asLong();
        }
        if (succeeded) {
            for (final JsonNode success : request.path("success")) {
                put(success.path("request_put"));
            }
        }
        return MAPPER.createObjectNode().put("succeeded", succeeded);
    }

    private static String decodeText(final JsonNode node) throws IOException {
        return new String(node.binaryValue(), StandardCharsets.UTF_8);
    }

    /** Implements one method of the store. */
    private interface Operation {
        /**
         * Executes the method.
         *
         * @param request the request body, not null
         * @return the response body, never null
         */
        ObjectNode apply(JsonNode request) throws IOException;
    }

    private record Entry(byte[] value, long revision, long lease) {}

    private record Lease(long seconds, long renewedAt) {}
}
