package org.lacewingstep.domain;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/** Tests the choice of a route by host and path, and of a service by weight. */
class RoutingTableTest {
    private static final ServiceName NEW = new ServiceName("new");
    private static final ServiceName OLD = new ServiceName("old");

    @Test
    void findsTheRouteWithTheLongestPathPrefix() {
        final RoutingTable table = table(route("/a/", OLD), route("/a/b/", NEW));

        assertThat(table.route("HOST.example", "/a/b/c")).map(Route::pathPrefix).contains("/a/b/");
        assertThat(table.route("host.example", "/a/c")).map(Route::pathPrefix).contains("/a/");
        assertThat(table.route("host.example", "/ab")).isEmpty();
        assertThat(table.route("other.example", "/a/b/c")).isEmpty();
    }

    @Test
    void splitsRequestsByWeightAndChoosesTheSameServiceForARequest() {
        final Route route = route("/a/", new RouteTarget(OLD, 90), new RouteTarget(NEW, 10));
        int newServiceCount = 0;
        for (int i = 0; i < 10_000; i++) {
            final RequestIdentifier request = new RequestIdentifier("request-" + i);
            final ServiceName service = route.chooseService(request);
            assertThat(route.chooseService(request)).isEqualTo(service);
            newServiceCount += service.equals(NEW) ? 1 : 0;
        }

        assertThat(newServiceCount).isCloseTo(1000, within(150));
    }

    @Test
    void urgencyFollowsTheTeamAndThenTheRoute() {
        final TeamName urgent = new TeamName("urgent");
        final TeamName other = new TeamName("other");
        final Route first = route("/a/", 0);
        final Route second = route("/b/", 2);
        final RoutingTable table = new RoutingTable(
                1,
                RoutingTable.byHost(List.of(first, second)),
                Map.of(),
                Map.of(urgent, allowance(urgent, 0), other, allowance(other, 1)),
                Map.of(),
                CallerLimits.DEFAULT);

        assertThat(table.urgency(OLD, first, Optional.of(urgent)).rank()).isZero();
        assertThat(table.urgency(OLD, second, Optional.of(urgent)).rank()).isEqualTo(1);
        assertThat(table.urgency(OLD, first, Optional.of(other)).rank()).isEqualTo(2);
        assertThat(table.urgency(OLD, second, Optional.of(other)).rank()).isEqualTo(3);
        assertThat(table.urgency(NEW, second, Optional.of(other))).isEqualTo(Urgency.DEFAULT);
    }

    private static TeamAllowance allowance(final TeamName team, final int priority) {
        return new TeamAllowance(team, 0, 0, true, 1, Set.of(), priority);
    }

    private static Route route(final String prefix, final int priority) {
        return new Route(
                "route",
                "host.example",
                prefix,
                new RouteKind.Idempotent(),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                1,
                false,
                List.of(new RouteTarget(OLD, 1)),
                Set.of(),
                priority);
    }

    private static RoutingTable table(final Route... routes) {
        return new RoutingTable(
                1, RoutingTable.byHost(List.of(routes)), Map.of(), Map.of(), Map.of(), CallerLimits.DEFAULT);
    }

    private static Route route(final String prefix, final ServiceName service) {
        return route(prefix, new RouteTarget(service, 1));
    }

    private static Route route(final String prefix, final RouteTarget... targets) {
        return new Route(
                "route",
                "host.example",
                prefix,
                new RouteKind.Idempotent(),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                1,
                true,
                List.of(targets),
                Set.of());
    }
}
