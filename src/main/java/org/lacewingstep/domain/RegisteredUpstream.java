package org.lacewingstep.domain;

import java.time.Duration;

import org.lacewingstep.error.Validate;

/**
 * Registry entry of an upstream, written by the upstream.
 *
 * @param name the identifier of the upstream in the registry, not null
 * @param startedAtMillis the start time of the upstream in milliseconds since the Unix epoch; a changed value means
 *     that the upstream has restarted and lost all requests and memory that it held
 * @param service the service that the upstream runs, not null
 * @param address the address at which the upstream accepts requests, not null
 * @param failureDomain the failure domain of the upstream, not null
 * @param role the role of the upstream in its service, not null
 * @param slots the number of requests that the upstream runs concurrently, more than zero
 * @param draining whether the upstream is draining before it stops
 * @param coldFor the remaining duration of the cold start when the entry was read, zero if the upstream is warm
 * @param version the version of the upstream's software, not null
 */
public record RegisteredUpstream(
        UpstreamName name,
        long startedAtMillis,
        ServiceName service,
        PeerAddress address,
        FailureDomainName failureDomain,
        UpstreamRole role,
        int slots,
        boolean draining,
        Duration coldFor,
        VersionName version) {
    /** Validates the components. */
    public RegisteredUpstream {
        Validate.notNull(name, "upstream");
        Validate.notNull(service, "service");
        Validate.notNull(address, "address");
        Validate.notNull(failureDomain, "failure domain");
        Validate.notNull(role, "role");
        Validate.isTrue(slots > 0, "slots", "more than zero");
        Validate.notNull(coldFor, "cold time");
        Validate.notNull(version, "version");
    }

    /**
     * Creates the entry of an upstream that names no version.
     *
     * @param name the identifier of the upstream in the registry, not null
     * @param startedAtMillis the start time of the upstream in milliseconds since the Unix epoch
     * @param service the service that the upstream runs, not null
     * @param address the address at which the upstream accepts requests, not null
     * @param failureDomain the failure domain of the upstream, not null
     * @param role the role of the upstream in its service, not null
     * @param slots the number of requests that the upstream runs concurrently, more than zero
     * @param draining whether the upstream is draining before it stops
     * @param coldFor the remaining duration of the cold start when the entry was read, zero if the upstream is warm
     */
    public RegisteredUpstream(
            final UpstreamName name,
            final long startedAtMillis,
            final ServiceName service,
            final PeerAddress address,
            final FailureDomainName failureDomain,
            final UpstreamRole role,
            final int slots,
            final boolean draining,
            final Duration coldFor) {
        this(
                name,
                startedAtMillis,
                service,
                address,
                failureDomain,
                role,
                slots,
                draining,
                coldFor,
                VersionName.UNNAMED);
    }
}
