package org.lacewingstep.placement;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamName;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that a draw walks a permutation of the upstreams and examines a bounded number of them. */
class UpstreamDrawTest {
    private static final Instant NOW = Instant.EPOCH.plusSeconds(1000);

    @Test
    void everyUpstreamIsDrawnOnceIfTheLimitAllows() {
        for (int size = 0; size < 120; size++) {
            final List<List<UpstreamName>> pools = List.of(names("a", size / 3), names("b", size - size / 3));
            for (int i = 0; i < 20; i++) {
                final UpstreamDraw draw = UpstreamDraw.of(pools, new RequestIdentifier("r" + i), NOW, 1000);
                assertThat(draw.alternatives()).isEqualTo(size);
                assertThat(new HashSet<>(drawn(draw))).hasSize(size);
            }
        }
    }

    @Test
    void drawExaminesNoMoreThanTheLimit() {
        final UpstreamDraw draw = UpstreamDraw.of(List.of(names("a", 1000)), new RequestIdentifier("r"), NOW, 32);

        assertThat(drawn(draw)).hasSize(32);
    }

    @Test
    void queuedCallExaminesAllUpstreamsInTime() {
        final Set<UpstreamName> seen = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            seen.addAll(drawn(UpstreamDraw.of(
                    List.of(names("a", 100)), new RequestIdentifier("r"), NOW.plusMillis(40L * i), 32)));
        }

        assertThat(seen).hasSize(100);
    }

    @Test
    void callsSpreadOverTheUpstreamsExaminedFirst() {
        final Map<UpstreamName, Integer> counts = new HashMap<>();
        for (int i = 0; i < 10_000; i++) {
            final UpstreamDraw draw = UpstreamDraw.of(List.of(names("a", 98)), new RequestIdentifier("r" + i), NOW, 32);
            counts.merge(draw.get(0), 1, Integer::sum);
            counts.merge(draw.get(1), 1, Integer::sum);
        }

        assertThat(counts).hasSize(98);
        assertThat(counts.values()).allSatisfy(count -> assertThat(count).isBetween(120, 300));
    }

    private static List<UpstreamName> drawn(final UpstreamDraw draw) {
        final List<UpstreamName> names = new ArrayList<>();
        for (int i = 0; i < draw.size(); i++) {
            names.add(draw.get(i));
        }
        return names;
    }

    private static List<UpstreamName> names(final String prefix, final int count) {
        final List<UpstreamName> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(new UpstreamName(prefix + i));
        }
        return names;
    }
}
