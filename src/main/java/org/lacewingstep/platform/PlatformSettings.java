package org.lacewingstep.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RegionName;
import org.lacewingstep.domain.RolloutBounds;
import org.lacewingstep.domain.SitePolicy;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import org.lacewingstep.settings.Faults;

/**
 * The settings that the platform passes to a process in a JSON file; unknown fields are ignored.
 *
 * @param policy the name and failure domain of the process and the limits of the site, not null
 * @param callerAddress the listen address for callers, not null
 * @param readyAddress the listen address for the platform's readiness checks, not null
 * @param peerAddress the address for other instances, not null
 * @param storeAddress the address of the platform's store, not null
 * @param firstStart whether all instances of the site start together with this process
 * @param contracts the contracts that the site has in force, not null
 */
public record PlatformSettings(
        SitePolicy policy,
        PeerAddress callerAddress,
        PeerAddress readyAddress,
        PeerAddress peerAddress,
        PeerAddress storeAddress,
        boolean firstStart,
        SiteContracts contracts) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLISECONDS_PER_SECOND = 1000;

    /**
     * Reads and validates a settings file.
     *
     * @param file the file, not null
     * @return the settings, never null
     * @throws RouterException if the file cannot be read or is invalid; the message lists all faults
     */
    public static PlatformSettings read(final Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (final IOException failure) {
            throw new RouterException(
                    ErrorCode.SETTINGS_INVALID, "read", file.toString(), "cannot be read: " + failure, failure);
        }
    }

    /**
     * Parses and validates the text of a settings file.
     *
     * @param name the file's name for error messages, not null
     * @param text the text, not null
     * @return the settings, never null
     * @throws RouterException if the text is invalid; the message lists all faults
     */
    public static PlatformSettings parse(final String name, final String text) {
        final Faults faults = new Faults(name);
        final TableReader root = new TableReader(parseJson(name, text), "", faults);
        final SiteContracts contracts = SiteContracts.read(root.node(), faults);
        final BoundReader bounds = new BoundReader(root.table("bounds"), contracts);
        final TableReader listen = root.table("listen");
        final PeerAddress callerAddress = listen.address("front");
        final PeerAddress readyAddress = listen.address("ready");
        final PeerAddress storeAddress = root.table("platform").address("address");
        final PeerAddress peerAddress = root.peerAddress();
        final String instance = root.text("node");
        final String domain = root.text("zone");
        final Map<FailureDomainName, RegionName> regions = regions(root.table("zones"));
        final Duration withdrawalLimit = bounds.milliseconds(SiteBound.REVOKE);
        final Duration shutdownLimit = bounds.seconds(SiteBound.GRACE);
        final double retryRatio = bounds.number(SiteBound.RETRY_RATIO);
        final Duration retryWindow = bounds.seconds(SiteBound.RETRY_WINDOW);
        final double retrySlack = bounds.number(SiteBound.RETRY_SLACK);
        final Duration rateWindow = bounds.seconds(SiteBound.RATE_WINDOW);
        final double rateExcess = bounds.number(SiteBound.RATE_EXCESS);
        final double rateSlack = bounds.number(SiteBound.RATE_SLACK);
        final double coldExcess = bounds.number(SiteBound.COLD_EXCESS);
        final double coldSlack = bounds.number(SiteBound.COLD_SLACK);
        final Duration orderInterval = bounds.milliseconds(SiteBound.ORDER_INTERVAL);
        final double exposureShare = bounds.fraction(SiteBound.EXPOSURE_SHARE);
        final double exposureSlack = bounds.number(SiteBound.EXPOSURE_SLACK);
        final Duration rollbackLimit = bounds.milliseconds(SiteBound.ROLLBACK);
        faults.throwIfAny(ErrorCode.SETTINGS_INVALID);
        final RolloutBounds rollout = contracts.isInForce(SiteBound.EXPOSURE_SHARE.contract())
                ? new RolloutBounds(exposureShare, exposureSlack, rollbackLimit)
                : RolloutBounds.NONE;
        final SitePolicy policy = new SitePolicy(
                new InstanceName(instance),
                new FailureDomainName(domain),
                regions,
                withdrawalLimit,
                shutdownLimit,
                retryRatio,
                retryWindow,
                retrySlack,
                rateWindow,
                rateExcess,
                rateSlack,
                coldExcess,
                coldSlack,
                orderInterval,
                rollout);
        return new PlatformSettings(
                policy,
                callerAddress,
                readyAddress,
                peerAddress,
                storeAddress,
                root.node().path("bootstrap").asBoolean(),
                contracts);
    }

    private static JsonNode parseJson(final String name, final String text) {
        try {
            return MAPPER.readTree(text);
        } catch (final IOException failure) {
            throw new RouterException(
                    ErrorCode.SETTINGS_INVALID, "parse", name, "is not JSON: " + failure.getMessage(), failure);
        }
    }

    private static Map<FailureDomainName, RegionName> regions(final TableReader zones) {
        final Map<FailureDomainName, RegionName> regions = new HashMap<>();
        zones.node().fields().forEachRemaining(entry -> {
            final String region = zones.text(entry.getKey());
            if (!region.isBlank()) {
                regions.put(new FailureDomainName(entry.getKey()), new RegionName(region));
            }
        });
        return regions;
    }

    /** Reads the bounds of the site; an absent bound is a fault only if its contract is in force. */
    private record BoundReader(TableReader table, SiteContracts contracts) {
        double number(final SiteBound bound) {
            final JsonNode value = table.node().path(bound.key());
            if (value.isMissingNode() && !contracts.isInForce(bound.contract())) {
                return bound.absentValue();
            }
            if (!value.isNumber() || value.asDouble() < 0) {
                addFault(bound, "must be a number of zero or more");
                return bound.absentValue();
            }
            return value.asDouble();
        }

        double fraction(final SiteBound bound) {
            final double value = number(bound);
            if (value > 1) {
                addFault(bound, "must be a number of one or less");
                return bound.absentValue();
            }
            return value;
        }

        Duration milliseconds(final SiteBound bound) {
            return positive(bound, number(bound));
        }

        Duration seconds(final SiteBound bound) {
            return positive(bound, number(bound) * MILLISECONDS_PER_SECOND);
        }

        private Duration positive(final SiteBound bound, final double milliseconds) {
            if (milliseconds == 0) {
                addFault(bound, "must be more than zero");
                return Duration.ofMillis(1);
            }
            return Duration.ofMillis((long) milliseconds);
        }

        private void addFault(final SiteBound bound, final String description) {
            final String reason =
                    contracts.isInForce(bound.contract()) ? " (contract " + bound.contract() + " is in force)" : "";
            table.faults().add(table.path() + bound.key(), description + reason);
        }
    }

    /** Reads the fields of one JSON object and collects their faults. */
    private record TableReader(JsonNode node, String path, Faults faults) {
        private static final String ADDRESS_FAULT = "must be an address of the form host:port";

        TableReader table(final String key) {
            if (!node.path(key).isObject()) {
                faults.add(path + key, "must be a table");
            }
            return new TableReader(node.path(key), path + key + ".", faults);
        }

        String text(final String key) {
            final String text = node.path(key).asText();
            if (!node.path(key).isTextual() || text.isBlank()) {
                faults.add(path + key, "must be a text that is not blank");
                return "";
            }
            return text;
        }

        /** Reads the address for peers, with the first of the ports reserved for traffic between instances. */
        PeerAddress peerAddress() {
            final String host = text("ip");
            final int port = node.path("internalPorts").path(0).asInt();
            try {
                return new PeerAddress(host, port);
            } catch (final RouterException failure) {
                faults.add(path + "internalPorts", "must be a list of ports");
                return new PeerAddress("0.0.0.0", 1);
            }
        }

        PeerAddress address(final String key) {
            try {
                return PeerAddress.parse(node.path(key).asText());
            } catch (final RouterException failure) {
                faults.add(path + key, ADDRESS_FAULT);
                return new PeerAddress("0.0.0.0", 1);
            }
        }
    }
}
