package org.lacewingstep.etcd;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import ratpack.exec.Promise;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;

/** Client of the key-value service that uses the JSON gateway of the etcd v3 API. */
public final class StoreClient {
    private static final int HTTP_OK = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final URI address;
    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param client the HTTP client, whose timeouts limit the duration of each call, not null
     * @param address the address of the key-value service, not null
     */
    public StoreClient(final HttpClient client, final URI address) {
        this.client = client;
        this.address = address;
    }

    /**
     * Writes a value if the key has not changed since a revision.
     *
     * @param key the key, not null
     * @param expectedRevision the revision of the key's last known change, zero if the key must not exist
     * @param value the value, not null
     * @return a promise of the revision of the write, empty if the key had changed; fails if the store cannot be
     *     reached
     */
    public Promise<Optional<Long>> compareAndPut(final String key, final long expectedRevision, final byte[] value) {
        final ObjectNode body = MAPPER.createObjectNode();
        body.putArray("compare")
                .addObject()
                .put("key", encodeKey(key))
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(expectedRevision));
        body.putArray("success")
                .addObject()
                .putObject("request_put")
                .put("key", encodeKey(key))
                .put("value", value);
        return call("/v3/kv/txn", body)
                .map(response -> response.path("succeeded").asBoolean()
                        ? Optional.of(response.path("header").path("revision").asLong())
                        : Optional.empty());
    }

    /**
     * Deletes a key.
     *
     * @param key the key, not null
     * @return a promise of true when the store has responded; fails if the store cannot be reached
     */
    public Promise<Boolean> delete(final String key) {
        final ObjectNode body = MAPPER.createObjectNode().put("key", encodeKey(key));
        return call("/v3/kv/deleterange", body).map(response -> true);
    }

    /**
     * Requests a lease.
     *
     * @param seconds the time to live of the lease in seconds
     * @return a promise of the identifier of the lease; fails if the store cannot be reached
     */
    public Promise<Long> grantLease(final long seconds) {
        final ObjectNode body = MAPPER.createObjectNode().put("TTL", Long.toString(seconds));
        return call("/v3/lease/grant", body).map(response -> response.path("ID").asLong());
    }

    /**
     * Renews a lease.
     *
     * @param lease the identifier of the lease
     * @return a promise of true if the lease was renewed, false if it has expired; fails if the store cannot be reached
     */
    public Promise<Boolean> keepAlive(final long lease) {
        final ObjectNode body = MAPPER.createObjectNode().put("ID", Long.toString(lease));
        return call("/v3/lease/keepalive", body)
                .map(response -> response.path("result").path("TTL").asLong() > 0);
    }

    /**
     * Writes a value.
     *
     * @param key the key, not null
     * @param value the value, not null
     * @param lease the identifier of the lease whose expiry deletes the key, zero for no lease
     * @return a promise of the revision of the write; fails if the store cannot be reached
     */
    public Promise<Long> put(final String key, final byte[] value, final long lease) {
        final ObjectNode body = MAPPER.createObjectNode()
                .put("key", encodeKey(key))
                .put("value", value)
                .put("lease", Long.toString(lease));
        return call("/v3/kv/put", body)
                .map(response -> response.path("header").path("revision").asLong());
    }

    /**
     * Reads one key.
     *
     * @param key the key, not null
     * @return a promise of the value, empty if the key does not exist; fails if the store cannot be reached
     */
    public Promise<Optional<StoredValue>> read(final String key) {
        final ObjectNode body = MAPPER.createObjectNode().put("key", encodeKey(key));
        return call("/v3/kv/range", body)
                .map(response -> parseValues(response).stream().findFirst());
    }

    /**
     * Reads all keys that begin with a prefix.
     *
     * @param prefix the prefix, not empty
     * @return a promise of the values; fails if the store cannot be reached
     */
    public Promise<List<StoredValue>> readAll(final String prefix) {
        final byte[] rangeEnd = prefix.getBytes(StandardCharsets.UTF_8);
        rangeEnd[rangeEnd.length - 1]++;
        final ObjectNode body =
                MAPPER.createObjectNode().put("key", encodeKey(prefix)).put("range_end", rangeEnd);
        return call("/v3/kv/range", body).map(StoreClient::parseValues);
    }

    private Promise<JsonNode> call(final String path, final ObjectNode body) {
        return client.post(
                        address.resolve(path),
                        request -> request.body(
                                content -> content.type("application/json").text(body.toString())))
                .map(response -> parseResponse(path, response))
                .mapError(failure -> {
                    throw toRouterException(path, failure);
                });
    }

    private RouterException toRouterException(final String path, final Throwable failure) {
        if (failure instanceof RouterException routerException) {
            return routerException;
        }
        return new RouterException(
                ErrorCode.STORE_UNREACHABLE,
                path,
                address.toString(),
                "the store did not respond: " + failure,
                failure);
    }

    private JsonNode parseResponse(final String path, final ReceivedResponse response) throws JsonProcessingException {
        if (response.getStatusCode() != HTTP_OK) {
            throw new RouterException(
                    ErrorCode.STORE_UNREACHABLE,
                    path,
                    address.toString(),
                    "the store responded with status " + response.getStatusCode());
        }
        final JsonNode body = MAPPER.readTree(response.getBody().getText());
        if (!body.isObject()) {
            // Without its body, a response would read as a store without keys.
            throw new RouterException(
                    ErrorCode.STORE_UNREACHABLE, path, address.toString(), "the store's response is no JSON object");
        }
        return body;
    }

    private static String encodeKey(final String key) {
        return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8));
    }

    private static List<StoredValue> parseValues(final JsonNode response) throws IOException {
        final List<StoredValue> values = new ArrayList<>();
        for (final JsonNode pair : response.path("kvs")) {
            final String key = new String(pair.path("key").binaryValue(), StandardCharsets.UTF_8);
            final byte[] value = pair.path("value").isMissingNode()
                    ? new byte[0]
                    : pair.path("value").binaryValue();
            values.add(new StoredValue(key, value, pair.path("mod_revision").asLong()));
        }
        return values;
    }

    /**
     * A key of the store with its value.
     *
     * @param key the key, not null
     * @param value the value, not null
     * @param revision the revision of the key's last change
     */
    public record StoredValue(String key, byte[] value, long revision) {}
}
