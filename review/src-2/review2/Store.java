package review2;

import java.io.IOException;
import java.io.OutputStream;
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

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** The platform's store: items, pages, watches, transactions, and leases that expire. */
final class Store implements AutoCloseable {
    private record Item(String key, String value, long revision, long lease) {
        String json() {
            return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + value + "\",\"revision\":" + revision
                    + ",\"createRev\":" + revision + ",\"lease\":" + lease + "}";
        }
    }

    private record Change(long revision, String json) {}

    private record Lease(long lifetimeMillis, long endsAt) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final HttpServer server;
    private long revision = 100;
    private long lastLease = 1000;

    Store(final String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 128);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::serve);
        server.start();
        Thread.ofVirtual().start(this::expireLeases);
    }

    int port() {
        return server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    synchronized long put(final String key, final String value) {
        return write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0, ++revision);
    }

    synchronized void delete(final String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Change(
                    revision, "{\"key\":" + Json.quote(key) + ",\"revision\":" + revision + ",\"deleted\":true}"));
            notifyAll();
        }
    }

    synchronized List<String> keys(final String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private long write(final String key, final String value, final long lease, final long at) {
        final Item item = new Item(key, value, at, lease);
        items.put(key, item);
        history.add(new Change(at, item.json()));
        notifyAll();
        return at;
    }

    private void expireLeases() {
        while (true) {
            try {
                Thread.sleep(100);
            } catch (final InterruptedException interruption) {
                return;
            }
            synchronized (this) {
                final long now = System.currentTimeMillis();
                for (final Long lease : List.copyOf(leases.keySet())) {
                    if (leases.get(lease).endsAt() < now) {
                        end(lease);
                    }
                }
            }
        }
    }

    private void end(final long lease) {
        leases.remove(lease);
        for (final Item item : List.copyOf(items.values())) {
            if (item.lease() == lease) {
                delete(item.key());
            }
        }
    }

    private void serve(final HttpExchange exchange) throws IOException {
        final String path = exchange.getRequestURI().getPath();
        final Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        final String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        pause(4);
        switch (path) {
            case "/kv-key" -> {
                final Item item = item(query.get("key"));
                respond(exchange, item == null ? 404 : 200, item == null ? "{}" : item.json());
            }
            case "/kv-range" -> respond(exchange, 200, range(query));
            case "/kv-watch" -> watch(exchange, query);
            case "/kv-txn" -> transact(exchange, Json.parse(body));
            case "/kv-lease" -> respond(exchange, 200, grant(Json.parse(body)));
            default -> leaseCall(exchange, path);
        }
    }

    private synchronized Item item(final String key) {
        return items.get(key);
    }

    private synchronized String range(final Map<String, String> query) {
        final List<String> found = new ArrayList<>();
        boolean more = false;
        for (final Item item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
            if (!item.key().startsWith(query.getOrDefault("pathPrefix", ""))) {
                continue;
            }
            if (found.size() == 500) {
                more = true;
                break;
            }
            found.add(item.json());
        }
        return "{\"items\":[" + String.join(",", found) + "],\"hasMore\":" + more + ",\"asOf\":" + revision + "}";
    }

    private void watch(final HttpExchange exchange, final Map<String, String> query) throws IOException {
        final long after = Long.parseLong(query.get("after"));
        final long until = System.currentTimeMillis() + Long.parseLong(query.get("waitMs"));
        final String response;
        synchronized (this) {
            while (revision <= after && System.currentTimeMillis() < until) {
                try {
                    wait(Math.max(1, until - System.currentTimeMillis()));
                } catch (final InterruptedException interruption) {
                    return;
                }
            }
            final List<String> events = history.stream()
                    .filter(change -> change.revision() > after)
                    .map(Change::json)
                    .toList();
            response = "{\"events\":[" + String.join(",", events) + "],\"asOf\":" + revision + "}";
        }
        respond(exchange, 200, response);
    }

    private void transact(final HttpExchange exchange, final Object body) throws IOException {
        final int status;
        final String response;
        synchronized (this) {
            final List<String> current = new ArrayList<>();
            boolean holds = true;
            for (final Map<String, Object> row : Json.rows(body, "precondition")) {
                final Item item = items.get((String) row.get("key"));
                holds &= (item == null ? 0 : item.revision()) == ((Double) row.get("revision")).longValue();
                if (item != null) {
                    current.add(item.json());
                }
            }
            if (holds) {
                final List<Map<String, Object>> writes = Json.rows(body, "writes");
                if (!writes.isEmpty()) {
                    revision++;
                }
                for (final Map<String, Object> row : writes) {
                    final Object lease = row.get("lease");
                    write(
                            (String) row.get("key"),
                            (String) row.get("value"),
                            lease == null ? 0 : ((Double) lease).longValue(),
                            revision);
                }
                status = 200;
                response = "{\"revision\":" + revision + "}";
            } else {
                status = 412;
                response = "{\"items\":[" + String.join(",", current) + "]}";
            }
        }
        respond(exchange, status, response);
    }

    @SuppressWarnings("unchecked")
    private synchronized String grant(final Object body) {
        final long lifetime = ((Double) ((Map<String, Object>) body).get("ttlMs")).longValue();
        lastLease++;
        leases.put(lastLease, new Lease(lifetime, System.currentTimeMillis() + lifetime));
        return "{\"lease\":" + lastLease + ",\"ttlMs\":" + lifetime + "}";
    }

    private void leaseCall(final HttpExchange exchange, final String path) throws IOException {
        final long identifier = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        int status = 404;
        synchronized (this) {
            final Lease lease = leases.get(identifier);
            if (lease != null) {
                status = 200;
                if (path.startsWith("/kv-keep/")) {
                    leases.put(
                            identifier,
                            new Lease(lease.lifetimeMillis(), System.currentTimeMillis() + lease.lifetimeMillis()));
                } else {
                    end(identifier);
                }
            }
        }
        respond(exchange, status, "{}");
    }

    private static Map<String, String> query(final String text) {
        final Map<String, String> query = new HashMap<>();
        for (final String part : text == null ? new String[0] : text.split("&")) {
            final int equals = part.indexOf('=');
            query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static void pause(final long millis) {
        try {
            Thread.sleep(millis);
        } catch (final InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private static void respond(final HttpExchange exchange, final int status, final String json) throws IOException {
        final byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        try (exchange) {
            exchange.sendResponseHeaders(status, bytes.length);
            try (OutputStream output = exchange.getResponseBody()) {
                output.write(bytes);
            }
        }
    }
}
