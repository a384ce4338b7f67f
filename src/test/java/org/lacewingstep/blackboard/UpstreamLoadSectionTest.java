package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.UpstreamLoadSection.PeerLoad;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamUse;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the sums of the other instances' reports follow each report and leave out those that are too old. */
class UpstreamLoadSectionTest {
    private static final Instant START = Instant.EPOCH.plusSeconds(1000);
    private static final int TIMEOUT_MILLIS = 3000;
    private static final UpstreamName UPSTREAM = new UpstreamName("u");

    @Test
    void replacedAndRemovedReportsLeaveNoUse() {
        final InstanceName peer = new InstanceName("a");
        final UpstreamLoadSection reported = UpstreamLoadSection.INITIAL
                .withReport(peer, new PeerLoad(START, Map.of(UPSTREAM, new UpstreamUse(3, 30, 2))))
                .withReport(peer, new PeerLoad(START.plusMillis(1), Map.of(UPSTREAM, new UpstreamUse(1, 10))));

        assertThat(reported.use(UPSTREAM, START)).isEqualTo(new UpstreamUse(1, 10));
        assertThat(reported.withoutReport(peer).peerUses()).isEmpty();
    }

    @Test
    void staleReportIsNotCountedBeforeItIsRemoved() {
        final UpstreamLoadSection section = UpstreamLoadSection.INITIAL
                .withReport(new InstanceName("a"), new PeerLoad(START, Map.of(UPSTREAM, new UpstreamUse(3, 30))))
                .withReport(
                        new InstanceName("b"),
                        new PeerLoad(START.plusSeconds(1), Map.of(UPSTREAM, new UpstreamUse(1, 10))));

        assertThat(section.use(UPSTREAM, START)).isEqualTo(new UpstreamUse(1, 10));
        assertThat(section.withoutReportsUntil(START).peers()).containsOnlyKeys(new InstanceName("b"));
        assertThat(section.withoutReportsUntil(START).use(UPSTREAM, START)).isEqualTo(new UpstreamUse(1, 10));
    }

    @Test
    void sumsEqualTheReportsOfRandomHistories() {
        final Random random = new Random(7);
        final Map<InstanceName, PeerLoad> reports = new HashMap<>();
        UpstreamLoadSection section = UpstreamLoadSection.INITIAL;
        for (int step = 0; step < 3000; step++) {
            final Instant now = START.plusMillis(40L * step);
            final Instant oldest = now.minusMillis(TIMEOUT_MILLIS);
            final InstanceName peer = new InstanceName("i" + random.nextInt(30));
            if (random.nextInt(20) == 0) {
                reports.remove(peer);
                section = section.withoutReport(peer);
            } else {
                final PeerLoad report = new PeerLoad(now, uses(random));
                reports.put(peer, report);
                section = section.withReport(peer, report);
            }
            if (random.nextInt(10) == 0) {
                section = section.withoutReportsUntil(oldest);
            }
            for (int i = 0; i < 8; i++) {
                final UpstreamName upstream = new UpstreamName("u" + i);
                assertThat(section.use(upstream, oldest)).isEqualTo(sum(reports, upstream, oldest));
            }
        }
    }

    private static Map<UpstreamName, UpstreamUse> uses(final Random random) {
        final Map<UpstreamName, UpstreamUse> uses = new HashMap<>();
        for (int i = 0; i < 8; i++) {
            if (random.nextBoolean()) {
                uses.put(new UpstreamName("u" + i), new UpstreamUse(random.nextInt(3), random.nextInt(9), 1));
            }
        }
        return uses;
    }

    private static UpstreamUse sum(
            final Map<InstanceName, PeerLoad> reports, final UpstreamName upstream, final Instant oldest) {
        return reports.values().stream()
                .filter(report -> report.at().isAfter(oldest))
                .map(report -> report.uses().getOrDefault(upstream, UpstreamUse.NONE))
                .reduce(UpstreamUse.NONE, UpstreamUse::plus);
    }
}
