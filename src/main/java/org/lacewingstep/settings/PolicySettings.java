package org.lacewingstep.settings;

import java.util.Set;

import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.error.RouterException;

/** Reads the durations and limits that the controllers use. */
final class PolicySettings {
    private static final Set<String> KEYS = Set.of(
            "heartbeat_interval",
            "peer_silence_limit",
            "lease_duration",
            "fencing_delay",
            "removal_delay",
            "settle_delay",
            "grant_life",
            "admission_patience",
            "placement_timeout",
            "request_limit",
            "audit_interval",
            "load_interval",
            "load_silence_limit",
            "configuration_interval",
            "isolation_limit",
            "drain_delay",
            "cold_start_floor",
            "tokens_per_piece",
            "queue_limit",
            "requests_limit",
            "maximum_tokens");

    private PolicySettings() {}

    /**
     * Reads the policy. A missing key takes its value from {@link Policy#DEFAULT}.
     *
     * @param table the table of policy settings, not null
     * @return the policy, or the default policy after a fault for values that contradict each other; never null
     */
    static Policy read(final TomlTable table) {
        table.allow(KEYS);
        final Policy defaults = Policy.DEFAULT;
        try {
            return new Policy(
                    table.duration("heartbeat_interval", defaults.heartbeatInterval()),
                    table.duration("peer_silence_limit", defaults.peerSilenceLimit()),
                    table.duration("lease_duration", defaults.leaseDuration()),
                    table.duration("fencing_delay", defaults.fencingDelay()),
                    table.duration("removal_delay", defaults.removalDelay()),
                    table.duration("settle_delay", defaults.settleDelay()),
                    table.duration("grant_life", defaults.grantLife()),
                    table.duration("admission_patience", defaults.admissionPatience()),
                    table.duration("placement_timeout", defaults.placementTimeout()),
                    table.duration("request_limit", defaults.requestLimit()),
                    table.duration("audit_interval", defaults.auditInterval()),
                    table.duration("load_interval", defaults.loadInterval()),
                    table.duration("load_silence_limit", defaults.loadSilenceLimit()),
                    table.duration("configuration_interval", defaults.configurationInterval()),
                    table.duration("isolation_limit", defaults.isolationLimit()),
                    table.duration("drain_delay", defaults.drainDelay()),
                    (int) table.number("cold_start_floor", 1, Short.MAX_VALUE, defaults.coldStartFloor()),
                    (int) table.number("tokens_per_piece", 1, Integer.MAX_VALUE, defaults.tokensPerPiece()),
                    (int) table.number("queue_limit", 1, Integer.MAX_VALUE, defaults.queueLimit()),
                    (int) table.number("requests_limit", 1, Integer.MAX_VALUE, defaults.requestsLimit()),
                    table.number("maximum_tokens", 1, Integer.MAX_VALUE, defaults.maximumTokens()));
        } catch (final RouterException failure) {
            table.fault(failure.peer(), failure.getMessage());
            return defaults;
        }
    }
}
