package org.lacewingstep.settings;

import java.util.Set;

import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.error.RouterException;

/** Reads the durations and sizes that decisions use. */
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
     * Reads the policy; a key that is missing has the value of {@link Policy#DEFAULT}.
     *
     * @param table the table, not null
     * @return the policy, the default one if the values do not agree with each other; never null
     */
    static Policy read(final TomlTable table) {
        table.allow(KEYS);
        final Policy usual = Policy.DEFAULT;
        try {
            return new Policy(
                    table.duration("heartbeat_interval", usual.heartbeatInterval()),
                    table.duration("peer_silence_limit", usual.peerSilenceLimit()),
                    table.duration("lease_duration", usual.leaseDuration()),
                    table.duration("fencing_delay", usual.fencingDelay()),
                    table.duration("removal_delay", usual.removalDelay()),
                    table.duration("settle_delay", usual.settleDelay()),
                    table.duration("grant_life", usual.grantLife()),
                    table.duration("admission_patience", usual.admissionPatience()),
                    table.duration("placement_timeout", usual.placementTimeout()),
                    table.duration("request_limit", usual.requestLimit()),
                    table.duration("audit_interval", usual.auditInterval()),
                    table.duration("load_interval", usual.loadInterval()),
                    table.duration("load_silence_limit", usual.loadSilenceLimit()),
                    table.duration("configuration_interval", usual.configurationInterval()),
                    table.duration("isolation_limit", usual.isolationLimit()),
                    table.duration("drain_delay", usual.drainDelay()),
                    (int) table.number("cold_start_floor", 1, Short.MAX_VALUE, usual.coldStartFloor()),
                    (int) table.number("tokens_per_piece", 1, Integer.MAX_VALUE, usual.tokensPerPiece()),
                    (int) table.number("queue_limit", 1, Integer.MAX_VALUE, usual.queueLimit()),
                    (int) table.number("requests_limit", 1, Integer.MAX_VALUE, usual.requestsLimit()),
                    table.number("maximum_tokens", 1, Integer.MAX_VALUE, usual.maximumTokens()));
        } catch (final RouterException failure) {
            table.fault(failure.peer(), failure.getMessage());
            return usual;
        }
    }
}
