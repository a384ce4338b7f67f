package org.lacewingstep.domain;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import com.google.common.hash.Hashing;
import org.lacewingstep.error.Validate;

/**
 * Maps requests for a host and a path prefix to services.
 *
 * @param name the name of the route, not blank
 * @param host the host name in the requests, not null
 * @param pathPrefix the prefix of the path, with a slash at both ends
 * @param kind the retry rules and the response form, not null
 * @param timeLimit longest time from the arrival of a request to its response, positive
 * @param latencyTarget time within which a response counts as on time, positive
 * @param attemptLimit largest number of upstreams to which a request is sent, one or more
 * @param open whether callers may omit the key
 * @param targets the services that share the requests of the route, at least one
 * @param allowedRegions the regions in which requests of the route may run, empty for all regions
 * @param priority how urgent requests of the route are among those of equally urgent teams, 0 for the most urgent
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        Duration timeLimit,
        Duration latencyTarget,
        int attemptLimit,
        boolean open,
        List<RouteTarget> targets,
        Set<RegionName> allowedRegions,
        int priority) {
    private static final int HASH_RANGE = 1 << 20;

    /** Validates the components and copies the collections. */
    public Route {
        Validate.notBlank(name, "route");
        Validate.notNull(host, "host");
        Validate.isTrue(pathPrefix.startsWith("/") && pathPrefix.endsWith("/"), "path prefix", "framed by slashes");
        Validate.notNull(kind, "kind");
        Validate.positive(timeLimit, "time limit");
        Validate.positive(latencyTarget, "latency target");
        Validate.isTrue(attemptLimit > 0, "attempt limit", "one or more");
        targets = List.copyOf(targets);
        Validate.isTrue(!targets.isEmpty(), "targets", "one or more");
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Creates a route without a priority of its own.
     *
     * @param name the name of the route, not blank
     * @param host the host name in the requests, not null
     * @param pathPrefix the prefix of the path, with a slash at both ends
     * @param kind the retry rules and the response form, not null
     * @param timeLimit longest time from the arrival of a request to its response, positive
     * @param latencyTarget time within which a response counts as on time, positive
     * @param attemptLimit largest number of upstreams to which a request is sent, one or more
     * @param open whether callers may omit the key
     * @param targets the services that share the requests of the route, at least one
     * @param allowedRegions the regions in which requests of the route may run, empty for all regions
     */
    public Route(
            final String name,
            final String host,
            final String pathPrefix,
            final RouteKind kind,
            final Duration timeLimit,
            final Duration latencyTarget,
            final int attemptLimit,
            final boolean open,
            final List<RouteTarget> targets,
            final Set<RegionName> allowedRegions) {
        this(
                name,
                host,
                pathPrefix,
                kind,
                timeLimit,
                latencyTarget,
                attemptLimit,
                open,
                targets,
                allowedRegions,
                Precedence.DEFAULT_PRIORITY);
    }

    /**
     * Chooses the service of a request in proportion to the weights of the targets.
     *
     * <p>The choice depends on a hash of the identifier, so the same request is always assigned to the same service.
     *
     * @param request the identifier of the request, not null
     * @return the service, never null
     */
    public ServiceName chooseService(final RequestIdentifier request) {
        if (targets.size() == 1) {
            return targets.getFirst().service();
        }
        final double totalWeight =
                targets.stream().mapToDouble(RouteTarget::weight).sum();
        final int hash =
                Hashing.murmur3_32().hashUnencodedChars(request.value()).asInt();
        double remainingWeight = totalWeight * Math.floorMod(hash, HASH_RANGE) / HASH_RANGE;
        for (final RouteTarget target : targets) {
            remainingWeight -= target.weight();
            if (remainingWeight < 0) {
                return target.service();
            }
        }
        return targets.getLast().service();
    }
}
