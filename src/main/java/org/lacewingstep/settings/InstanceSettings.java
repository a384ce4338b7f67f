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
 * @param failureDomain its failure domain, not null
 * @param callerAddress where callers reach it, not null
 * @param operatorAddress where operators reach it, not null
 * @param peerAddress where peers reach it, not null
 * @param store the address of the key-value service, not null
 * @param instanceList the address of the instance list, not null
 * @param jsonLog whether the log is written as JSON lines
 * @param logLevel the lowest level logged, not null
 * @param bodyBytes largest body of a caller in bytes
 * @param bytesPerToken bytes of a prompt that count as one token
 * @param callerIdleLimit how long a caller may stall, not null
 * @param upstreamSilenceLimit how long an upstream may send nothing, not null
 * @param policy the durations and sizes that decisions use, not null
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
        Duration callerIdleLimit,
        Duration upstreamSilenceLimit,
        Policy policy) {
    private static final int DEFAULT_BODY_BYTES = 1024 * 1024;
    private static final int DEFAULT_BYTES_PER_TOKEN = 3;
    private static final Duration DEFAULT_SILENCE_LIMIT = Duration.ofSeconds(10);
    private static final int LARGEST_BODY_BYTES = 64 * 1024 * 1024;
    private static final Set<String> LEVELS = Set.of("debug", "error", "info", "trace", "warn");

    /**
     * Reads and checks a file of settings.
     *
     * @param file the file, not null
     * @return the settings, never null
     * @throws RouterException with every fault of the file, if there is one
     */
    public static InstanceSettings read(final Path file) {
        final TomlTable root = TomlFile.read(file);
        root.allow(Set.of("instance", "platform", "log", "limits", "policy"));
        final TomlTable instance = root.table("instance");
        instance.allow(Set.of("name", "failure_domain", "caller_address", "operator_address", "peer_address"));
        final TomlTable platform = root.table("platform");
        platform.allow(Set.of("store", "instance_list"));
        final TomlTable log = root.table("log");
        log.allow(Set.of("format", "level"));
        final TomlTable limits = root.table("limits");
        limits.allow(Set.of("body_bytes", "bytes_per_token", "caller_idle", "upstream_silence"));
        final Policy policy = PolicySettings.read(root.table("policy"));
        final InstanceName name = instance.parsed("name", InstanceName::new, null);
        final FailureDomainName domain = instance.parsed("failure_domain", FailureDomainName::new, null);
        final PeerAddress caller = instance.parsed("caller_address", PeerAddress::parse, null);
        final PeerAddress operator = instance.parsed("operator_address", PeerAddress::parse, null);
        final PeerAddress peer = instance.parsed("peer_address", PeerAddress::parse, null);
        final URI store = platform.parsed("store", InstanceSettings::address, null);
        final URI list = platform.parsed("instance_list", InstanceSettings::address, null);
        final boolean json =
                oneOf(log, "format", Set.of("json", "text"), "text").equals("json");
        final String level = oneOf(log, "level", LEVELS, "info");
        final int body = (int) limits.number("body_bytes", 1, LARGEST_BODY_BYTES, DEFAULT_BODY_BYTES);
        final int bytes = (int) limits.number("bytes_per_token", 1, Byte.MAX_VALUE, DEFAULT_BYTES_PER_TOKEN);
        final Duration idle = limits.duration("caller_idle", DEFAULT_SILENCE_LIMIT);
        final Duration silence = limits.duration("upstream_silence", DEFAULT_SILENCE_LIMIT);
        root.faults().raise(ErrorCode.SETTINGS_INVALID);
        return new InstanceSettings(
                name, domain, caller, operator, peer, store, list, json, level, body, bytes, idle, silence, policy);
    }

    /**
     * Parses the address of an HTTP service.
     *
     * @param text the text, not null
     * @return the address, never null
     * @throws IllegalArgumentException if the text is no such address
     */
    public static URI address(final String text) {
        final URI address = URI.create(text);
        if (address.getHost() == null || !"http".equals(address.getScheme())) {
            throw new IllegalArgumentException("must be an address such as http://127.0.0.1:2379");
        }
        return address;
    }

    private static String oneOf(
            final TomlTable table, final String key, final Set<String> allowed, final String substitute) {
        final String text = table.text(key, substitute);
        if (!allowed.contains(text)) {
            table.fault(key, "must be one of " + new TreeSet<>(allowed));
        }
        return text;
    }
}
