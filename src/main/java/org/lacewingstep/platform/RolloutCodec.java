package org.lacewingstep.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.RolloutOrder;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.VersionName;

/** Decodes orders and plans of rollouts, and encodes plans and the states that the operators read. */
final class RolloutCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String ORDER_PREFIX = "op/rollout/";
    private static final String PLAN_PREFIX = "lacewingstep/rollouts/";
    private static final String STATUS_PREFIX = "status/rollout/";
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private RolloutCodec() {}

    /**
     * Returns whether a key holds an order or a plan.
     *
     * @param key the key, not null
     * @return true if this class decodes the item
     */
    static boolean isRolloutKey(final String key) {
        return key.startsWith(ORDER_PREFIX) || key.startsWith(PLAN_PREFIX);
    }

    /**
     * Returns the key of a plan.
     *
     * @param service the service, not null
     * @return the key, never null
     */
    static String planKey(final ServiceName service) {
        return PLAN_PREFIX + service;
    }

    /**
     * Returns the key of the state that the operators read.
     *
     * @param service the service, not null
     * @return the key, never null
     */
    static String statusKey(final ServiceName service) {
        return STATUS_PREFIX + service;
    }

    /**
     * Decodes the removal of an order; a removed plan concerns nobody, since plans are replaced and not removed.
     *
     * @param key the key, not null
     * @return the change, empty for a plan
     */
    static Optional<StoreChange> decodeRemoval(final String key) {
        return key.startsWith(ORDER_PREFIX)
                ? Optional.of(new StoreChange.RolloutWithdrawn(new ServiceName(key.substring(ORDER_PREFIX.length()))))
                : Optional.empty();
    }

    /**
     * Decodes an order or a plan.
     *
     * @param key the key, not null
     * @param value the value, not null
     * @param revision the store's revision of the item
     * @return the change, never null
     */
    static StoreChange decode(final String key, final JsonNode value, final StoreRevision revision) {
        return key.startsWith(ORDER_PREFIX)
                ? new StoreChange.RolloutOrdered(
                        decodeOrder(new ServiceName(key.substring(ORDER_PREFIX.length())), value, revision.toLong()))
                : new StoreChange.RolloutPlanChanged(
                        decodePlan(new ServiceName(key.substring(PLAN_PREFIX.length())), value), revision);
    }

    private static RolloutOrder decodeOrder(final ServiceName service, final JsonNode value, final long revision) {
        return new RolloutOrder(
                service,
                new VersionName(text(value, "target")),
                Duration.ofMillis((long) (value.path("durationS").asDouble() * MILLISECONDS_PER_SECOND)),
                revision);
    }

    private static RolloutPlan decodePlan(final ServiceName service, final JsonNode value) {
        return new RolloutPlan(
                service,
                new VersionName(text(value, "target")),
                value.path("order").asLong(),
                RolloutPlan.Stage.valueOf(text(value, "stage")),
                Instant.ofEpochMilli(value.path("startedAt").asLong()),
                new RolloutPlan.Tally(
                        value.path("requests").asLong(),
                        value.path("exposed").asLong(),
                        value.path("bad").asLong()),
                new InstanceName(text(value, "author")));
    }

    /**
     * Encodes a plan.
     *
     * @param plan the plan, not null
     * @return the base64 text of the plan, never null
     */
    static String encodePlan(final RolloutPlan plan) {
        return encode(MAPPER.createObjectNode()
                .put("target", plan.target().value())
                .put("order", plan.order())
                .put("stage", plan.stage().name())
                .put("startedAt", plan.startedAt().toEpochMilli())
                .put("requests", plan.tally().requests())
                .put("exposed", plan.tally().exposed())
                .put("bad", plan.tally().bad())
                .put("author", plan.author().value()));
    }

    /**
     * Encodes the state that the operators read.
     *
     * @param plan the plan, not null
     * @return the base64 text of the state, never null
     */
    static String encodeStatus(final RolloutPlan plan) {
        return encode(MAPPER.createObjectNode()
                .put("state", stateName(plan.stage()))
                .put("target", plan.target().value()));
    }

    private static String stateName(final RolloutPlan.Stage stage) {
        return switch (stage) {
            case PROBING, SHIFTING -> "running";
            case SUCCEEDED -> "succeeded";
            case ROLLED_BACK -> "rolled_back";
        };
    }

    private static String encode(final ObjectNode value) {
        return Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static String text(final JsonNode value, final String field) {
        if (!value.path(field).isTextual() || value.path(field).asText().isBlank()) {
            throw new IllegalArgumentException(field + " is not a text");
        }
        return value.path(field).asText();
    }
}
