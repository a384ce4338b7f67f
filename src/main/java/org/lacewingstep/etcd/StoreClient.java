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

/** Client of the key-value service, by the JSON gateway of etcd's version 3 interface. */
public final class StoreClient {
    private static final int HTTP_OK = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client;
    private final URI store;

    /**
     * Creates a client.
     *
     * @param client the HTTP client, whose time-outs bound each call, not null
     * @param store the service's address, not null
     */
    public StoreClient(final HttpClient client, final URI store) {
        this.client = client;
        this.store = store;
    }

    /**
     * Writes a value if the key was not changed since a revision.
     *
     * @param key the key, not null
     * @param expectedRevision the revision of the key's last change, zero if the key must not exist
     * @param value the value, not null
     * @return the revision of the write, empty if the key was changed; fails if the store cannot be reached
     */
    public Promise<Optional<Long>> compareAndPut(final String key, final long expectedRevision, final byte[] value) {
        final ObjectNode body = MAPPER.createObjectNode();
        body.putArray("compare")
                .addObject()
                .put("key", encode(key))
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(expectedRevision));
        body.putArray("success")
                .addObject()
                .putObject("request_put")
                .put("key", encode(key))
                .put("value", value);
        return call("/v3/kv/txn", body)
                .map(answer -> answer.path("succeeded").asBoolean()
                        ? Optional.of(answer.path("header").path("revision").asLong())
                        : Optional.empty());
    }

    /**
     * Deletes a key.
     *
     * @param key the key, not null
     * @return whether the store answered; fails if it cannot be reached
     */
    public Promise<Boolean> delete(final String key) {
        final ObjectNode body = MAPPER.createObjectNode().put("key", encode(key));
        return call("/v3/kv/deleterange", body).map(answer -> true);
    }

    /**
     * Asks for a lease.
     *
     * @param seconds its life in seconds
     * @return the lease; fails if the store cannot be reached
     */
    public Promise<Long> grantLease(final long seconds) {
        final ObjectNode body = MAPPER.createObjectNode().put("TTL", Long.toString(seconds));
        return call("/v3/lease/grant", body).map(answer -> answer.path("ID").asLong());
    }

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @return whether the lease still lives; fails if the store cannot be reached
     */
    public Promise<Boolean> keepAlive(final long lease) {
        final ObjectNode body = MAPPER.createObjectNode().put("ID", Long.toString(lease));
        return call("/v3/lease/keepalive", body)
                .map(answer -> answer.path("result").path("TTL").asLong() > 0);
    }

    /**
     * Writes a value.
     *
     * @param key the key, not null
     * @param value the value, not null
     * @param lease the lease with which the key goes, zero for none
     * @return the revision of the write; fails if the store cannot be reached
     */
    public Promise<Long> put(final String key, final byte[] value, final long lease) {
        final ObjectNode body = MAPPER.createObjectNode()
                .put("key", encode(key))
                .put("value", value)
                .put("lease", Long.toString(lease));
        return call("/v3/kv/put", body)
                .map(answer -> answer.path("header").path("revision").asLong());
    }

    /**
     * Reads one key.
     *
     * @param key the key, not null
     * @return the value, empty if the key does not exist; fails if the store cannot be reached
     */
    public Promise<Optional<StoredValue>> read(final String key) {
        final ObjectNode body = MAPPER.createObjectNode().put("key", encode(key));
        return call("/v3/kv/range", body).map(answer -> values(answer).stream().findFirst());
    }

    /**
     * Reads all keys that begin with a text.
     *
     * @param prefix the text, not null
     * @return the values; fails if the store cannot be reached
     */
    public Promise<List<StoredValue>> readAll(final String prefix) {
        final byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
        end[end.length - 1]++;
        final ObjectNode body =
                MAPPER.createObjectNode().put("key", encode(prefix)).put("range_end", end);
        return call("/v3/kv/range", body).map(StoreClient::values);
    }

    private Promise<JsonNode> call(final String path, final ObjectNode body) {
        return client.post(
                        store.resolve(path),
                        request -> request.body(
                                content -> content.type("application/json").text(body.toString())))
                .map(answer -> parse(path, answer))
                .mapError(failure -> {
                    throw unreachable(path, failure);
                });
    }

    private RouterException unreachable(final String path, final Throwable failure) {
        if (failure instanceof RouterException known) {
            return known;
        }
        return new RouterException(
                ErrorCode.STORE_UNREACHABLE, path, store.toString(), "the store did not answer: " + failure, failure);
    }

    private JsonNode parse(final String path, final ReceivedResponse answer) throws JsonProcessingException {
        if (answer.getStatusCode() != HTTP_OK) {
            throw new RouterException(
                    ErrorCode.STORE_UNREACHABLE,
                    path,
                    store.toString(),
                    "the store answered with status " + answer.getStatusCode());
        }
        return MAPPER.readTree(answer.getBody().getText());
    }

    private static String encode(final String key) {
        return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8));
    }

    private static List<StoredValue> values(final JsonNode answer) throws IOException {
        final List<StoredValue> values = new ArrayList<>();
        for (final JsonNode pair : answer.path("kvs")) {
            final String key = new String(pair.path("key").binaryValue(), StandardCharsets.UTF_8);
            final byte[] value = pair.path("value").isMissingNode()
                    ? new byte[0]
                    : pair.path("value").binaryValue();
            values.add(new StoredValue(key, value, pair.path("mod_revision").asLong()));
        }
        return values;
    }

    /**
     * A value in the store.
     *
     * @param key the key, not null
     * @param value the value, not null
     * @param revision the revision of its last change
     */
    public record StoredValue(String key, byte[] value, long revision) {}
}
