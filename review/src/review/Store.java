package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store as PROTOCOL.md describes it: items, ranges, watches, transactions and leases. */
final class Store implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ArrayNode history = MAPPER.createArrayNode();
    private final Map<String, ObjectNode> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Server server;

    private long lastLease = 100;
    private long revision = 1;

    private record Lease(long ttlMillis, long endsAtNanos) {}

    private record Answer(int status, ObjectNode body) {}

    Store(final String host) throws IOException {
        server = new Server(host, this::serve);
        Thread.ofPlatform().daemon().start(this::endLeases);
    }

    String address() {
        return server.address();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** Takes the store down: its connections are reset, and so are new ones. Leases end meanwhile if {@code lapse}. */
    void goDown(final boolean lapse) {
        server.setResetting(true);
        if (lapse) {
            synchronized (this) {
                leases.replaceAll((id, lease) -> new Lease(lease.ttlMillis(), System.nanoTime()));
                removeEndedLeases();
            }
        }
    }

    void comeBack() {
        server.setResetting(false);
    }

    /** Writes an item as the operator or a runner does. */
    synchronized void put(final String key, final JsonNode value) {
        write(key, Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void delete(final String key) {
        if (items.remove(key) != null) {
            revision++;
            history.addObject().put("key", key).put("revision", revision).put("deleted", true);
            notifyAll();
        }
    }

    synchronized int count(final String prefix) {
        return (int) items.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    private void write(final String key, final String encoded, final long lease) {
        revision++;
        final ObjectNode known = items.get(key);
        final ObjectNode item = MAPPER.createObjectNode()
                .put("key", key)
                .put("value", encoded)
                .put("revision", revision)
                .put("createRev", known == null ? revision : known.path("createRev").asLong())
                .put("lease", lease);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    private void endLeases() {
        try {
            while (true) {
                Thread.sleep(20);
                synchronized (this) {
                    removeEndedLeases();
                }
            }
        } catch (final InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private void removeEndedLeases() {
        final long now = System.nanoTime();
        final List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease.endsAtNanos() - now <= 0) {
                ended.add(id);
            }
        });
        ended.forEach(leases::remove);
        if (!ended.isEmpty()) {
            items.values().stream()
                    .filter(item -> ended.contains(item.path("lease").asLong()))
                    .map(item -> item.path("key").asText())
                    .toList()
                    .forEach(this::delete);
        }
    }

    private void serve(final Socket socket) throws IOException, InterruptedException {
        final InputStream input = Http.buffered(socket.getInputStream());
        for (Http.Message request = Http.read(input, false); request != null; request = Http.read(input, false)) {
            final Answer answer = answer(request);
            final byte[] body = answer.body().toString().getBytes(StandardCharsets.UTF_8);
            final byte[] head = Http.ascii("HTTP/1.1 " + answer.status()
                    + " Status\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n");
            socket.getOutputStream().write(head);
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
        }
    }

    private Answer answer(final Http.Message request) throws IOException, InterruptedException {
        final String[] target = request.target().split("\\?", 2);
        final Map<String, String> query = query(target.length > 1 ? target[1] : "");
        final String path = target[0];
        if (path.equals("/kv-range")) {
            return range(query);
        }
        if (path.equals("/kv-key")) {
            return item(query.get("key"));
        }
        if (path.equals("/kv-watch")) {
            return watch(query);
        }
        if (path.equals("/kv-txn")) {
            return transact(MAPPER.readTree(request.body()));
        }
        if (path.equals("/kv-lease")) {
            return grant(MAPPER.readTree(request.body()).path("ttlMs").asLong());
        }
        if (path.startsWith("/kv-keep/")) {
            return keep(Long.parseLong(path.substring("/kv-keep/".length())));
        }
        return new Answer(404, MAPPER.createObjectNode());
    }

    private synchronized Answer item(final String key) {
        final ObjectNode item = items.get(key);
        return item == null
                ? new Answer(404, MAPPER.createObjectNode().put("asOf", revision))
                : new Answer(200, item.deepCopy().put("asOf", revision));
    }

    private synchronized Answer range(final Map<String, String> query) {
        final ObjectNode body = MAPPER.createObjectNode().put("asOf", revision).put("hasMore", false);
        final ArrayNode found = body.putArray("items");
        items.forEach((key, item) -> {
            if (key.startsWith(query.getOrDefault("pathPrefix", "")) && key.compareTo(query.getOrDefault("after", "")) > 0) {
                found.add(item);
            }
        });
        return new Answer(200, body);
    }

    private synchronized Answer watch(final Map<String, String> query) throws InterruptedException {
        final long after = Long.parseLong(query.get("after"));
        final String prefix = query.getOrDefault("pathPrefix", "");
        final long until = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        while (true) {
            final ObjectNode body = MAPPER.createObjectNode().put("asOf", revision);
            final ArrayNode events = body.putArray("events");
            for (final JsonNode event : history) {
                if (event.path("revision").asLong() > after && event.path("key").asText().startsWith(prefix)) {
                    events.add(event);
                }
            }
            final long leftMillis = (until - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) {
                return new Answer(200, body);
            }
            wait(leftMillis);
        }
    }

    private synchronized Answer transact(final JsonNode body) {
        final ObjectNode answer = MAPPER.createObjectNode();
        boolean holds = true;
        final ArrayNode current = MAPPER.createArrayNode();
        for (final JsonNode row : body.path("precondition")) {
            final ObjectNode item = items.get(row.path("key").asText());
            holds &= (item == null ? 0 : item.path("revision").asLong()) == row.path("revision").asLong();
            if (item != null) {
                current.add(item);
            }
        }
        if (!holds) {
            answer.set("items", current);
            return new Answer(412, answer);
        }
        for (final JsonNode write : body.path("writes")) {
            final long lease = write.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Answer(404, answer);
            }
        }
        for (final JsonNode write : body.path("writes")) {
            write(write.path("key").asText(), write.path("value").asText(), write.path("lease").asLong());
        }
        for (final JsonNode key : body.path("remove")) {
            delete(key.asText());
        }
        return new Answer(200, answer.put("revision", revision));
    }

    private synchronized Answer grant(final long ttlMillis) {
        lastLease++;
        leases.put(lastLease, new Lease(ttlMillis, System.nanoTime() + ttlMillis * 1_000_000));
        return new Answer(200, MAPPER.createObjectNode().put("lease", lastLease).put("ttlMs", ttlMillis));
    }

    private synchronized Answer keep(final long id) {
        final Lease lease = leases.get(id);
        if (lease == null) {
            return new Answer(404, MAPPER.createObjectNode());
        }
        leases.put(id, new Lease(lease.ttlMillis(), System.nanoTime() + lease.ttlMillis() * 1_000_000));
        return new Answer(200, MAPPER.createObjectNode().put("ttlMs", lease.ttlMillis()));
    }

    private static Map<String, String> query(final String text) {
        final Map<String, String> query = new HashMap<>();
        for (final String part : text.split("&")) {
            final int equals = part.indexOf('=');
            if (equals > 0) {
                query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }
}
