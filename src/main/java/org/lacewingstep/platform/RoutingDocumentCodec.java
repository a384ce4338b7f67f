package org.lacewingstep.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.lacewingstep.domain.CallerLimits;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.Precedence;
import org.lacewingstep.domain.RegionName;
import org.lacewingstep.domain.Route;
import org.lacewingstep.domain.RouteKind;
import org.lacewingstep.domain.RouteTarget;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.ServiceLimits;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.TeamAllowance;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;

/** Decodes the operators' routing document: routes, services, teams and caller limits. */
final class RoutingDocumentCodec {
    /** Longest pause between events on a streaming route without {@code gapAimMs}. */
    private static final long DEFAULT_PAUSE_MILLISECONDS = 300;

    private RoutingDocumentCodec() {}

    /**
     * Decodes a routing document.
     *
     * @param document the document, not null
     * @return the routing table, never null
     * @throws RouterException if a required number is missing or a value is invalid
     */
    static RoutingTable decode(final JsonNode document) {
        final List<Route> routes = new ArrayList<>();
        document.path("routes").forEach(node -> routes.add(route(node)));
        final Map<ServiceName, ServiceLimits> services = new HashMap<>();
        document.path("services").forEach(node -> {
            final ServiceLimits service = service(node);
            services.put(service.name(), service);
        });
        final Map<TeamName, TeamAllowance> teams = new HashMap<>();
        final Map<KeyDigest, TeamName> keys = new HashMap<>();
        document.path("tenants").forEach(node -> {
            final TeamAllowance team = team(node);
            teams.put(team.team(), team);
            node.path("apiKeys").forEach(key -> keys.put(KeyDigest.of(key.asText()), team.team()));
        });
        return new RoutingTable(
                number(document, "version"),
                RoutingTable.byHost(routes),
                services,
                teams,
                keys,
                limits(document.path("limits")));
    }

    private static Route route(final JsonNode node) {
        return new Route(
                node.path("name").asText(),
                node.path("host").asText(),
                node.path("pathPrefix").asText(),
                kind(node),
                Duration.ofMillis(number(node, "timeoutMs")),
                Duration.ofMillis(node.path("targetLatencyMs").asLong(number(node, "timeoutMs"))),
                (int) Math.max(1, node.path("maxAttempts").asLong(1)),
                node.path("anonymous").asBoolean(),
                targets(node),
                regions(node),
                priority(node));
    }

    private static RouteKind kind(final JsonNode node) {
        return switch (node.path("kind").asText()) {
            case "safe" -> new RouteKind.Idempotent();
            case "streaming" ->
                new RouteKind.EventStream(
                        node.path("resumable").asBoolean(),
                        Duration.ofMillis(node.path("gapAimMs").asLong(DEFAULT_PAUSE_MILLISECONDS)));
            default -> new RouteKind.AtMostOnce();
        };
    }

    /** Reads the targets of a route, which names either one service or a weighted split over services. */
    private static List<RouteTarget> targets(final JsonNode node) {
        final List<RouteTarget> targets = new ArrayList<>();
        for (final JsonNode entry : node.path("trafficSplit")) {
            targets.add(new RouteTarget(
                    new ServiceName(entry.path("service").asText()),
                    entry.path("weight").asDouble()));
        }
        return targets.isEmpty()
                ? List.of(new RouteTarget(new ServiceName(node.path("service").asText()), 1))
                : targets;
    }

    private static Set<RegionName> regions(final JsonNode node) {
        final Set<RegionName> regions = new HashSet<>();
        node.path("allowedRegions").forEach(name -> regions.add(new RegionName(name.asText())));
        return regions;
    }

    private static ServiceLimits service(final JsonNode node) {
        return new ServiceLimits(
                new ServiceName(node.path("name").asText()),
                node.path("maxConnections").asInt(Integer.MAX_VALUE),
                node.path("engine").path("kvTokens").asLong(),
                Duration.ofMillis(node.path("engine").path("holdMs").asLong()),
                node.path("coldPerS").asDouble());
    }

    private static TeamAllowance team(final JsonNode node) {
        return new TeamAllowance(
                new TeamName(node.path("name").asText()),
                node.path("ratePerS").asDouble(),
                node.path("burst").asDouble(),
                "token_stream".equals(node.path("unit").asText()),
                node.path("plainTokens").asLong(),
                regions(node),
                priority(node));
    }

    private static int priority(final JsonNode node) {
        return node.path("priority").asInt(Precedence.DEFAULT_PRIORITY);
    }

    private static CallerLimits limits(final JsonNode node) {
        final CallerLimits defaults = CallerLimits.DEFAULT;
        return new CallerLimits(
                node.path("maxHeaderBytes").asInt(defaults.headerBytes()),
                node.path("maxBodyBytes").asInt(defaults.bodyBytes()),
                Duration.ofMillis(node.path("headerTimeoutMs")
                        .asLong(defaults.headerLimit().toMillis())),
                Duration.ofMillis(
                        node.path("idleTimeoutMs").asLong(defaults.idleLimit().toMillis())));
    }

    private static long number(final JsonNode node, final String field) {
        final JsonNode value = node.path(field);
        if (!value.isNumber()) {
            throw new RouterException(
                    ErrorCode.CONFIGURATION_INVALID,
                    "decode",
                    field,
                    "the routing document has no numeric field " + field);
        }
        return value.asLong();
    }
}
