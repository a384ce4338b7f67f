package org.lacewingstep.traffic;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import org.lacewingstep.etcd.DocumentCodec;

/** Encodes the blackboard as JSON for operators, without the digests of keys. */
public final class StateDump {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private StateDump() {}

    /**
     * Encodes a blackboard; lists of keys are replaced by their size, and the key of each request is removed.
     *
     * @param board the blackboard to encode, not null
     * @return the JSON text, never null
     */
    public static String of(final Blackboard board) {
        try {
            final ObjectNode tree = (ObjectNode) MAPPER.readTree(DocumentCodec.encode(board));
            final ObjectNode configuration =
                    (ObjectNode) tree.path("configuration").path("inForce");
            configuration.put("keys", board.configuration().inForce().keys().size());
            for (final JsonNode request : tree.path("requests").path("requests")) {
                ((ObjectNode) request.path("demand")).remove("key");
            }
            final ObjectNode table =
                    (ObjectNode) tree.path("serving").path("routing").path("table");
            table.put("keys", board.serving().routing().table().keys().size());
            for (final JsonNode call : tree.path("serving").path("calls").path("calls")) {
                ((ObjectNode) call.path("demand")).remove("key");
            }
            return tree.toPrettyString();
        } catch (final IOException failure) {
            throw new RouterException(ErrorCode.INTERNAL, "dump", "state", failure.getMessage(), failure);
        }
    }
}
