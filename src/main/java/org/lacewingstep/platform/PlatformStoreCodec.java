package org.lacewingstep.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.NetUtil;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RolePlan;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.VersionName;
import org.lacewingstep.error.Validate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decodes the items of the platform's store by key, and encodes the entry of an instance. */
final class PlatformStoreCodec {
    /** Key of the operators' routing document. */
    static final String ROUTING_KEY = "op/config";

    /** Key of the plan of engine roles. */
    static final String ROLE_PLAN_KEY = "lacewingstep/roles";

    /** Prefix of the keys of this system's instances. */
    static final String INSTANCE_PREFIX = "lacewingstep/instances/";

    private static final String EVACUATION_PREFIX = "op/evacuate/";

    /** Longest base64 text of an upstream or an instance; entries are some hundred characters long. */
    private static final int MAX_ENTRY_LENGTH = 64 * 1024;

    private static final Logger LOGGER = LoggerFactory.getLogger(PlatformStoreCodec.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String UPSTREAM_PREFIX = "servers/";

    /** Key of an upstream, whose name is sent to it in a header: printable ASCII characters without spaces. */
    private static final Pattern UPSTREAM_KEY = Pattern.compile(UPSTREAM_PREFIX + "[!-~]+");

    private PlatformStoreCodec() {}

    /**
     * Decodes an item that was written or deleted.
     *
     * @param item the item as the store returns it, not null
     * @param era the era of the store in which the item was read
     * @return the change; an upstream with an invalid entry counts as unregistered; empty for any other invalid item,
     *     for a deleted routing document, and for items that do not concern this system
     */
    static Optional<StoreChange> decode(final JsonNode item, final long era) {
        final String key = item.path("key").asText();
        final boolean deleted = item.path("deleted").asBoolean();
        try {
            if (key.equals(ROUTING_KEY) && !deleted) {
                return Optional.of(new StoreChange.TableWritten(
                        RoutingDocumentCodec.decode(decodeValue(item)), revision(item, era)));
            }
            if (key.equals(ROLE_PLAN_KEY) && !deleted) {
                return Optional.of(
                        new StoreChange.RolePlanChanged(decodeRolePlan(decodeValue(item)), revision(item, era)));
            }
            return decodePrefixed(item, key, deleted, era);
        } catch (final IOException | RuntimeException failure) {
            LOGGER.atWarn()
                    .addKeyValue("step", "decode")
                    .addKeyValue("key", key)
                    .log("cannot decode an item of the store: {}", failure.getMessage());
            return namesUpstream(key)
                    ? Optional.of(new StoreChange.UpstreamUnregistered(upstreamName(key)))
                    : Optional.empty();
        }
    }

    private static Optional<StoreChange> decodePrefixed(
            final JsonNode item, final String key, final boolean deleted, final long era) throws IOException {
        if (RolloutCodec.isRolloutKey(key)) {
            return deleted
                    ? RolloutCodec.decodeRemoval(key)
                    : Optional.of(RolloutCodec.decode(key, decodeEntry(item), revision(item, era)));
        }
        if (key.startsWith(EVACUATION_PREFIX)) {
            final FailureDomainName domain = new FailureDomainName(key.substring(EVACUATION_PREFIX.length()));
            return Optional.of(
                    deleted ? new StoreChange.DomainInService(domain) : new StoreChange.DomainOutOfService(domain));
        }
        if (key.startsWith(INSTANCE_PREFIX)) {
            final InstanceName instance = new InstanceName(key.substring(INSTANCE_PREFIX.length()));
            return Optional.of(
                    deleted
                            ? new StoreChange.InstanceUnregistered(instance)
                            : new StoreChange.InstanceRegistered(decodeMember(instance, decodeEntry(item))));
        }
        if (key.startsWith(UPSTREAM_PREFIX)) {
            return Optional.of(
                    deleted
                            ? new StoreChange.UpstreamUnregistered(upstreamName(key))
                            : new StoreChange.UpstreamRegistered(decodeUpstream(upstreamName(key), decodeEntry(item))));
        }
        return Optional.empty();
    }

    private static StoreRevision revision(final JsonNode item, final long era) {
        return new StoreRevision(era, item.path("revision").asLong());
    }

    /**
     * Encodes the store entry of an instance.
     *
     * @param self the instance, not null
     * @return the base64 text of the entry, never null
     */
    static String encodePresence(final Member self) {
        final ObjectNode value = MAPPER.createObjectNode()
                .put("peerAddress", self.address().toString())
                .put("incarnation", self.incarnation().number())
                .put("failureDomain", self.failureDomain().value());
        return Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static Member decodeMember(final InstanceName instance, final JsonNode value) {
        return new Member(
                new Incarnation(instance, value.path("incarnation").asLong()),
                address(value, "peerAddress"),
                new FailureDomainName(textField(value, "failureDomain")));
    }

    /**
     * Encodes a plan of engine roles.
     *
     * @param plan the plan, not null
     * @return the base64 text of the plan, never null
     */
    static String encodeRolePlan(final RolePlan plan) {
        final ObjectNode value =
                MAPPER.createObjectNode().put("author", plan.author().value());
        final ObjectNode changes = value.putObject("changes");
        plan.changes().forEach((name, change) -> changes.putObject(name.value())
                .put("stage", stageName(change.role()))
                .put("born", change.startedAtMillis()));
        return Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static RolePlan decodeRolePlan(final JsonNode value) {
        final Map<UpstreamName, RolePlan.Change> changes = new HashMap<>();
        value.path("changes")
                .properties()
                .forEach(entry -> changes.put(
                        new UpstreamName(entry.getKey()),
                        new RolePlan.Change(upstreamRole(entry.getValue()), startedAtMillis(entry.getValue()))));
        return new RolePlan(new InstanceName(textField(value, "author")), changes);
    }

    /**
     * Returns the platform's name of an engine role.
     *
     * @param role the role, not null
     * @return the name, never null
     */
    static String stageName(final UpstreamRole role) {
        return switch (role) {
            case PREFILL -> "prefill";
            case DECODE -> "decode";
            case PLAIN -> throw new IllegalArgumentException("a plain upstream has no stage");
        };
    }

    private static boolean namesUpstream(final String key) {
        return UPSTREAM_KEY.matcher(key).matches();
    }

    private static UpstreamName upstreamName(final String key) {
        if (!namesUpstream(key)) {
            throw new IllegalArgumentException("the key names no upstream");
        }
        return new UpstreamName(key.substring(UPSTREAM_PREFIX.length()));
    }

    private static RegisteredUpstream decodeUpstream(final UpstreamName name, final JsonNode entry) {
        return new RegisteredUpstream(
                name,
                startedAtMillis(entry),
                new ServiceName(textField(entry, "service")),
                address(entry, "address"),
                new FailureDomainName(textField(entry, "zone")),
                upstreamRole(entry),
                intField(entry, "slots"),
                isDraining(entry),
                coldFor(entry),
                version(entry));
    }

    private static VersionName version(final JsonNode entry) {
        return new VersionName(entry.path("version").asText());
    }

    private static boolean isDraining(final JsonNode entry) {
        return switch (textField(entry, "state")) {
            case "ready" -> false;
            case "draining" -> true;
            default -> throw new IllegalArgumentException("unknown state");
        };
    }

    private static UpstreamRole upstreamRole(final JsonNode entry) {
        if (!entry.hasNonNull("stage")) {
            return UpstreamRole.PLAIN;
        }
        return switch (textField(entry, "stage")) {
            case "prefill" -> UpstreamRole.PREFILL;
            case "decode" -> UpstreamRole.DECODE;
            default -> throw new IllegalArgumentException("unknown stage");
        };
    }

    /** Reads an address with an IP address as its host, because resolving a name would block the event loop. */
    private static PeerAddress address(final JsonNode node, final String field) {
        final PeerAddress address = PeerAddress.parse(textField(node, field));
        if (!NetUtil.isValidIpV4Address(address.host()) && !NetUtil.isValidIpV6Address(address.host())) {
            throw new IllegalArgumentException(field + " has no IP address");
        }
        return address;
    }

    private static String textField(final JsonNode node, final String field) {
        if (!node.path(field).isTextual()) {
            throw new IllegalArgumentException(field + " is not a string");
        }
        return node.path(field).asText();
    }

    private static int intField(final JsonNode node, final String field) {
        final JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToInt()) {
            throw new IllegalArgumentException(field + " is not an integer of 32 bits");
        }
        return value.asInt();
    }

    private static long startedAtMillis(final JsonNode entry) {
        final JsonNode value = entry.path("born");
        if (!value.isMissingNode() && !value.isIntegralNumber()) {
            throw new IllegalArgumentException("born is not an integer");
        }
        return notNegative(value, "born");
    }

    private static Duration coldFor(final JsonNode entry) {
        return Duration.ofMillis(notNegative(entry.path("coldRemainingMs"), "coldRemainingMs"));
    }

    /** Reads a number, zero if it is missing. */
    private static long notNegative(final JsonNode value, final String field) {
        if (value.isMissingNode()) {
            return 0;
        }
        if (!value.isNumber() || !value.canConvertToLong()) {
            throw new IllegalArgumentException(field + " is not a number of 64 bits");
        }
        return Validate.notNegative(value.asLong(), field);
    }

    /** Decodes the value of an upstream or an instance. */
    private static JsonNode decodeEntry(final JsonNode item) throws IOException {
        if (item.path("value").asText().length() > MAX_ENTRY_LENGTH) {
            throw new IllegalArgumentException("the value is too long");
        }
        return decodeValue(item);
    }

    /** Decodes the value of an item, a JSON object encoded in base64. */
    private static JsonNode decodeValue(final JsonNode item) throws IOException {
        final JsonNode value =
                MAPPER.readTree(Base64.getDecoder().decode(item.path("value").asText()));
        if (value == null || !value.isObject()) {
            throw new IllegalArgumentException("the value is not a JSON object");
        }
        return value;
    }
}
