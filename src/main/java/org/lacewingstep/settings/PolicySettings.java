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
        table.rejectUnknownKeys(KEYS);
        final Policy defaults = Policy.DEFAULT;
        try {
            return new Policy(
                    table.readDuration("heartbeat_interval", defaults.heartbeatInterval()),
                    table.readDuration("peer_silence_limit", defaults.peerSilenceLimit()),
                    table.readDuration("lease_duration", defaults.leaseDuration()),
                    table.readDuration("fencing_delay", defaults.fencingDelay()),
                    table.readDuration("removal_delay", defaults.removalDelay()),
                    table.readDuration("settle_delay", defaults.settleDelay()),
                    table.readDuration("grant_life", defaults.grantLife()),
                    table.readDuration("admission_patience", defaults.admissionPatience()),
                    table.readDuration("placement_timeout", defaults.placementTimeout()),
                    table.readDuration("request_limit", defaults.requestLimit()),
                    table.readDuration("audit_interval", defaults.auditInterval()),
                    table.readDuration("load_interval", defaults.loadInterval()),
                    table.readDuration("load_silence_limit", defaults.loadSilenceLimit()),
                    table.readDuration("configuration_interval", defaults.configurationInterval()),
                    table.readDuration("isolation_limit", defaults.isolationLimit()),
                    table.readDuration("drain_delay", defaults.drainDelay()),
                    (int) table.readInteger("cold_start_floor", 1, Short.MAX_VALUE, defaults.coldStartFloor()),
                    (int) table.readInteger("tokens_per_piece", 1, Integer.MAX_VALUE, defaults.tokensPerPiece()),
                    (int) table.readInteger("queue_limit", 1, Integer.MAX_VALUE, defaults.queueLimit()),
                    (int) table.readInteger("requests_limit", 1, Integer.MAX_VALUE, defaults.requestsLimit()),
                    table.readInteger("maximum_tokens", 1, Integer.MAX_VALUE, defaults.maximumTokens()));
        } catch (final RouterException failure) {
            table.addFault(failure.subject(), failure.getMessage());
            return defaults;
        }
    }
}
