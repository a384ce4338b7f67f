package org.lacewingstep.settings;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;

import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;

/**
 * Settings of one instance.
 *
 * @param name the instance's name, not null
 * @param failureDomain the instance's failure domain, not null
 * @param callerAddress the address for callers, not null
 * @param operatorAddress the address for operators, not null
 * @param peerAddress the address for peers, not null
 * @param store the address of the key-value service, not null
 * @param instanceList the address of the instance list, not null
 * @param jsonLog true if each log entry is written as a line of JSON, false for plain text
 * @param logLevel the lowest level that is logged, not null
 * @param bodyBytes the maximum size of a request body in bytes
 * @param bytesPerToken the number of prompt bytes that are estimated as one token
 * @param callerIdleTimeout the timeout for a stalled caller connection, not null
 * @param upstreamTimeout the timeout for an upstream that sends no data, not null
 * @param policy the durations and limits that the controllers use, not null
 */
public record InstanceSettings(
        InstanceName name,
        FailureDomainName failureDomain,
        PeerAddress callerAddress,
        PeerAddress operatorAddress,
        PeerAddress peerAddress,
        URI store,
        URI instanceList,
        boolean jsonLog,
        String logLevel,
        int bodyBytes,
        int bytesPerToken,
        Duration callerIdleTimeout,
        Duration upstreamTimeout,
        Policy policy) {
    private static final int DEFAULT_BODY_BYTES = 1024 * 1024;
    private static final int DEFAULT_BYTES_PER_TOKEN = 3;
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(10);
    private static final Set<String> LOG_LEVELS = Set.of("debug", "error", "info", "trace", "warn");
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

    /**
     * Reads and validates a settings file.
     *
     * @param file the file, not null
     * @return the settings, never null
     * @throws RouterException if the file is invalid; the message lists every fault
     */
    public static InstanceSettings read(final Path file) {
        final TomlTable root = TomlFile.read(file);
        root.rejectUnknownKeys(Set.of("instance", "platform", "log", "limits", "policy"));
        final TomlTable instance = root.readTable("instance");
        instance.rejectUnknownKeys(
                Set.of("name", "failure_domain", "caller_address", "operator_address", "peer_address"));
        final TomlTable platform = root.readTable("platform");
        platform.rejectUnknownKeys(Set.of("store", "instance_list"));
        final TomlTable log = root.readTable("log");
        log.rejectUnknownKeys(Set.of("format", "level"));
        final TomlTable limits = root.readTable("limits");
        limits.rejectUnknownKeys(Set.of("body_bytes", "bytes_per_token", "caller_idle", "upstream_silence"));
        final Policy policy = PolicySettings.read(root.readTable("policy"));
        final InstanceName name = instance.readParsed("name", InstanceName::new, null);
        final FailureDomainName failureDomain = instance.readParsed("failure_domain", FailureDomainName::new, null);
        final PeerAddress callerAddress = instance.readParsed("caller_address", PeerAddress::parse, null);
        final PeerAddress operatorAddress = instance.readParsed("operator_address", PeerAddress::parse, null);
        final PeerAddress peerAddress = instance.readParsed("peer_address", PeerAddress::parse, null);
        final URI store = platform.readParsed("store", InstanceSettings::parseHttpAddress, null);
        final URI instanceList = platform.readParsed("instance_list", InstanceSettings::parseHttpAddress, null);
        final boolean jsonLog =
                parseChoice(log, "format", Set.of("json", "text"), "text").equals("json");
        final String logLevel = parseChoice(log, "level", LOG_LEVELS, "info");
        final int bodyBytes = (int) limits.readInteger("body_bytes", 1, MAX_BODY_BYTES, DEFAULT_BODY_BYTES);
        final int bytesPerToken =
                (int) limits.readInteger("bytes_per_token", 1, Byte.MAX_VALUE, DEFAULT_BYTES_PER_TOKEN);
        final Duration callerIdleTimeout = limits.readDuration("caller_idle", DEFAULT_IDLE_TIMEOUT);
        final Duration upstreamTimeout = limits.readDuration("upstream_silence", DEFAULT_IDLE_TIMEOUT);
        root.faults().throwIfAny(ErrorCode.SETTINGS_INVALID);
        return new InstanceSettings(
                name,
                failureDomain,
                callerAddress,
                operatorAddress,
                peerAddress,
                store,
                instanceList,
                jsonLog,
                logLevel,
                bodyBytes,
                bytesPerToken,
                callerIdleTimeout,
                upstreamTimeout,
                policy);
    }

    /**
     * Parses the base address of an HTTP service.
     *
     * @param text the text, not null
     * @return the address, never null
     * @throws IllegalArgumentException if the text is not a URL with the scheme http and a host
     */
    public static URI parseHttpAddress(final String text) {
        final URI address = URI.create(text);
        if (address.getHost() == null || !"http".equals(address.getScheme())) {
            throw new IllegalArgumentException("must be an address such as http://127.0.0.1:2379");
        }
        return address;
    }

    private static String parseChoice(
            final TomlTable table, final String key, final Set<String> allowed, final String defaultValue) {
        final String text = table.readString(key, defaultValue);
        if (!allowed.contains(text)) {
            table.addFault(key, "must be one of " + new TreeSet<>(allowed));
        }
        return text;
    }
}
