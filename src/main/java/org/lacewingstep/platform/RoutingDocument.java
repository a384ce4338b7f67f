package org.lacewingstep.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;

/**
 * A routing document as operators write it, decoded by the rules by which instances take it.
 *
 * @param table the decoded table, not null
 * @param sharedKeys the positions of keys that an earlier entry holds too, as {@code team/index}, not null
 */
public record RoutingDocument(RoutingTable table, Set<String> sharedKeys) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final List<String> LISTS = List.of("routes", "services", "tenants");

    /** Copies the positions. */
    public RoutingDocument {
        sharedKeys = Set.copyOf(sharedKeys);
    }

    /**
     * Decodes the text of a routing document.
     *
     * @param name the name of the file for error messages, not null
     * @param text the document, not null
     * @return the document, never null
     * @throws RouterException if instances would not take the document; the message has the place of the fault
     */
    public static RoutingDocument parse(final String name, final String text) {
        final JsonNode root;
        try {
            root = MAPPER.readTree(text);
        } catch (final JsonProcessingException failure) {
            throw invalid(
                    name,
                    "line " + failure.getLocation().getLineNr() + ": is not JSON: " + failure.getOriginalMessage(),
                    failure);
        }
        if (root == null || !root.isObject()) {
            throw invalid(name, "must be a JSON object", null);
        }
        for (final String list : LISTS) {
            checkEntries(name, root, list);
        }
        try {
            return new RoutingDocument(RoutingDocumentCodec.decode(root), sharedKeys(root));
        } catch (final RouterException failure) {
            throw invalid(name, failure.getMessage(), failure);
        }
    }

    /**
     * Decodes a routing document from the answer of the store to a read of its key.
     *
     * @param answer the body of the answer, not null
     * @return the document, never null
     * @throws RouterException if the answer holds no document that instances would take
     */
    public static RoutingDocument parseStoreAnswer(final String answer) {
        try {
            final JsonNode encoded = MAPPER.readTree(answer).path("value");
            if (!encoded.isTextual()) {
                throw invalid(PlatformStoreCodec.ROUTING_KEY, "the store holds no document", null);
            }
            final byte[] value = Base64.getDecoder().decode(encoded.asText());
            return parse(PlatformStoreCodec.ROUTING_KEY, new String(value, StandardCharsets.UTF_8));
        } catch (final IOException | IllegalArgumentException failure) {
            throw invalid(PlatformStoreCodec.ROUTING_KEY, "the store's answer is invalid: " + failure, failure);
        }
    }

    /**
     * Returns the path by which the store serves the document in force.
     *
     * @return the path with its query, never null
     */
    public static String storePath() {
        return "/kv-key?key=" + PlatformStoreCodec.ROUTING_KEY;
    }

    /** Decodes each entry alone, so that a fault is reported with the position of its entry. */
    private static void checkEntries(final String name, final JsonNode root, final String list) {
        int index = 0;
        for (final JsonNode entry : root.path(list)) {
            try {
                RoutingDocumentCodec.decode(MAPPER.createObjectNode()
                        .put("version", 0)
                        .set(list, MAPPER.createArrayNode().add(entry)));
            } catch (final RouterException failure) {
                throw invalid(name, list + "[" + index + "]: " + failure.getMessage(), failure);
            }
            index++;
        }
    }

    private static Set<String> sharedKeys(final JsonNode root) {
        final Set<String> seen = new HashSet<>();
        final Set<String> shared = new TreeSet<>();
        for (final JsonNode team : root.path("tenants")) {
            int index = 0;
            for (final JsonNode key : team.path("apiKeys")) {
                if (!seen.add(key.asText())) {
                    shared.add(team.path("name").asText() + "/" + index);
                }
                index++;
            }
        }
        return shared;
    }

    private static RouterException invalid(final String name, final String message, final Exception cause) {
        return new RouterException(ErrorCode.CONFIGURATION_INVALID, "decode", name, message, cause);
    }
}
