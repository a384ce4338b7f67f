package org.lacewingstep.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Simulates the store of the platform: items, watches, transactions, copies, and leases that never expire. */
public final class PlatformStoreStandIn implements AutoCloseable {
    private static final int GONE = 410;
    private static final int NOT_FOUND = 404;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int PRECONDITION_FAILED = 412;
    private static final String RENEWAL_PREFIX = "/kv-keep/";
    private static final int UNAVAILABLE = 503;

    private final ArrayNode history = MAPPER.createArrayNode();
    private final Map<String, ObjectNode> items = new TreeMap<>();
    private final HttpServer server;
    private final AtomicInteger calls = new AtomicInteger();

    private long earliestWatchRevision;
    private volatile String era = "1";
    private volatile Fault fault = Fault.NONE;
    private long lastLeaseIdentifier = 100;
    private long revision = 1;

    /** The fault that is currently injected into the store. */
    public enum Fault {
        NONE,
        REFUSES,
        NO_RESPONSE,
        LOSES_RESPONSES
    }

    /**
     * The content of the store at one moment.
     *
     * @param items the items by key, not null
     * @param history the changes that watchers may still ask for, not null
     * @param earliestWatchRevision the lowest revision that watchers may ask for
     * @param revision the revision of the store
     * @param lastLeaseIdentifier the identifier of the last lease that was granted
     */
    public record Copy(
            Map<String, ObjectNode> items,
            List<JsonNode> history,
            long earliestWatchRevision,
            long revision,
            long lastLeaseIdentifier) {
        /** Copies the collections. */
        public Copy {
            items = Map.copyOf(items);
            history = List.copyOf(history);
        }
    }

    /**
     * Starts the store on a free port.
     *
     * @throws IOException if the server cannot be bound
     */
    public PlatformStoreStandIn() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::serve);
        server.start();
    }

    /**
     * Returns the number of requests received so far.
     *
     * @return the number of requests
     */
    public int calls() {
        return calls.get();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    /**
     * Deletes an item.
     *
     * @param key the key of the item, not null
     */
    public synchronized void delete(final String key) {
        revision++;
        items.remove(key);
        history.addObject().put("key", key).put("revision", revision).put("deleted", true);
        notifyAll();
    }

    /**
     * Copies the content of the store.
     *
     * @return the copy, never null
     */
    public synchronized Copy copy() {
        final List<JsonNode> changes = new ArrayList<>();
        history.forEach(changes::add);
        return new Copy(items, changes, earliestWatchRevision, revision, lastLeaseIdentifier);
    }

    /**
     * Replaces the content with that of a copy and names the next era. What was written after the copy is gone, and
     * its revisions are given out again.
     *
     * @param copy the copy, not null
     */
    public synchronized void restore(final Copy copy) {
        items.clear();
        items.putAll(copy.items());
        history.removeAll();
        history.addAll(copy.history());
        earliestWatchRevision = copy.earliestWatchRevision();
        revision = copy.revision();
        lastLeaseIdentifier = copy.lastLeaseIdentifier();
        era = Long.toString(Long.parseLong(era) + 1);
        notifyAll();
    }

    /**
     * Returns the revision of an item.
     *
     * @param key the key of the item, not null
     * @return the revision, zero if there is no item
     */
    public synchronized long revisionOf(final String key) {
        return items.containsKey(key) ? items.get(key).path("revision").asLong() : 0;
    }

    /** Discards the history, so that watchers must read all items again. */
    public synchronized void dropHistory() {
        earliestWatchRevision = revision + 1;
        revision += 2;
        history.removeAll();
        notifyAll();
    }

    /**
     * Returns the port of the store.
     *
     * @return the TCP port
     */
    public int port() {
        return server.getAddress().getPort();
    }

    /**
     * Writes an item.
     *
     * @param key the key of the item, not null
     * @param value the value of the item, not null
     */
    public synchronized void put(final String key, final String value) {
        putEncoded(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Writes an item whose value may be no base64.
     *
     * @param key the key of the item, not null
     * @param value the value as the store returns it, not null
     */
    public synchronized void putEncoded(final String key, final String value) {
        revision++;
        final ObjectNode item =
                MAPPER.createObjectNode().put("key", key).put("value", value).put("revision", revision);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    /**
     * Reads the value of an item.
     *
     * @param key the key of the item, not null
     * @return the text of the value, empty if there is no item
     */
    public synchronized String read(final String key) {
        final ObjectNode item = items.get(key);
        return item == null
                ? ""
                : new String(Base64.getDecoder().decode(item.path("value").asText()), StandardCharsets.UTF_8);
    }

    /**
     * Injects a fault into the store or removes the current one.
     *
     * @param newFault the fault of all further requests, {@link Fault#NONE} to remove the current fault, not null
     */
    public void setFault(final Fault newFault) {
        fault = newFault;
    }

    private void serve(final HttpExchange exchange) throws IOException {
        calls.incrementAndGet();
        final String path = exchange.getRequestURI().getPath();
        final Map<String, String> query = parseQuery(exchange.getRequestURI().getRawQuery());
        final byte[] body = exchange.getRequestBody().readAllBytes();
        if (fault == Fault.NO_RESPONSE) {
            return;
        }
        if (fault == Fault.REFUSES) {
            respond(exchange, UNAVAILABLE, MAPPER.createObjectNode());
            return;
        }
        switch (path) {
            case "/kv-key" -> readItem(exchange, query.get("key"));
            case "/kv-range" -> respond(exchange, OK, range());
            case "/kv-watch" -> watch(exchange, query);
            case "/kv-txn" -> transact(exchange, MAPPER.readTree(body));
            case "/kv-lease" -> respond(exchange, OK, grantLease());
            default -> respond(exchange, isLostLease(path) ? NOT_FOUND : OK, MAPPER.createObjectNode());
        }
    }

    private synchronized boolean isLostLease(final String path) {
        return path.startsWith(RENEWAL_PREFIX)
                && Long.parseLong(path.substring(RENEWAL_PREFIX.length())) > lastLeaseIdentifier;
    }

    private synchronized void readItem(final HttpExchange exchange, final String key) throws IOException {
        final ObjectNode item = items.get(key);
        respond(exchange, item == null ? NOT_FOUND : OK, item == null ? MAPPER.createObjectNode() : item);
    }

    private synchronized ObjectNode range() {
        final ObjectNode response =
                MAPPER.createObjectNode().put("asOf", revision).put("hasMore", false);
        response.putArray("items").addAll(items.values());
        return response;
    }

    private synchronized ObjectNode grantLease() {
        lastLeaseIdentifier++;
        return MAPPER.createObjectNode().put("lease", lastLeaseIdentifier);
    }

    private void watch(final HttpExchange exchange, final Map<String, String> query) throws IOException {
        final long after = Long.parseLong(query.get("after"));
        final ObjectNode response = MAPPER.createObjectNode();
        final ArrayNode events = response.putArray("events");
        synchronized (this) {
            if (revision == after) {
                awaitChange(Long.parseLong(query.get("waitMs")));
            }
            if (after < earliestWatchRevision || after > revision) {
                events.removeAll();
                response.put("gone", true);
            }
            for (final JsonNode event : history) {
                if (event.path("revision").asLong() > after) {
                    events.add(event);
                }
            }
            response.put("asOf", revision);
        }
        respond(exchange, response.has("gone") ? GONE : OK, response);
    }

    private void awaitChange(final long timeoutMilliseconds) {
        try {
            wait(Math.max(1, timeoutMilliseconds));
        } catch (final InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void transact(final HttpExchange exchange, final JsonNode body) throws IOException {
        final ObjectNode response = MAPPER.createObjectNode();
        for (final JsonNode condition : body.path("precondition")) {
            final ObjectNode item = items.get(condition.path("key").asText());
            final long currentRevision =
                    item == null ? 0 : item.path("revision").asLong();
            if (currentRevision != condition.path("revision").asLong()) {
                response.putArray("items").add(item);
                respond(exchange, PRECONDITION_FAILED, response);
                return;
            }
        }
        body.path("writes")
                .forEach(write -> putEncoded(
                        write.path("key").asText(), write.path("value").asText()));
        respond(exchange, OK, response.put("revision", revision));
    }

    private static Map<String, String> parseQuery(final String text) {
        final Map<String, String> query = new HashMap<>();
        for (final String part : text == null ? new String[0] : text.split("&")) {
            final int equals = part.indexOf('=');
            query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private void respond(final HttpExchange exchange, final int status, final JsonNode body) throws IOException {
        if (fault == Fault.LOSES_RESPONSES) {
            return;
        }
        final byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Store-Era", era);
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream output = exchange.getResponseBody()) {
            output.write(bytes);
        }
    }
}
