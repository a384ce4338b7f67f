package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.UpstreamNotice;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamStart;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that an upstream gets no more requests from all instances together than the limit that it names permits. */
class RequestLimitTest {
    private static final RegisteredUpstream LIMITED_UPSTREAM =
            SiteFixture.upstreams().getFirst();
    private static final UpstreamName LIMITED = LIMITED_UPSTREAM.name();
    private static final UpstreamName OTHER = new UpstreamName("ledger-2");
    private static final Duration STEP = Duration.ofMillis(40);
    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final Duration RUN = Duration.ofSeconds(30);

    /** Part of the limit in use below which callers are refused while the upstream would serve them. */
    private static final double LEAST_USE = 0.5;

    @ParameterizedTest
    @CsvSource({
        "6,0.4", "6,0.9", "6,6.2", "9,0.9", "9,2", "9,4.8", "9,40", "24,5", "58,0.4", "58,12", "87,5", "87,60", "95,3"
    })
    void requestsOfAllInstancesStayWithinTheLimit(final int instances, final double limit) {
        final RelayFleet fleet = new RelayFleet(instances, 3, new Random(instances), List.of(LIMITED_UPSTREAM));
        fleet.run(Duration.ofSeconds(3));
        fleet.sites().forEach(site -> announce(site, LIMITED, Optional.of(limit)));
        final Deque<Instant> sent = new ArrayDeque<>();
        int total = 0;
        for (Duration time = Duration.ZERO; time.compareTo(RUN) < 0; time = time.plus(STEP)) {
            fleet.run(STEP);
            for (final SiteFixture site : fleet.sites()) {
                if (isServedByLimitedUpstream(site)) {
                    sent.add(site.now());
                    total++;
                }
            }
            final Instant oldest = fleet.now().minus(WINDOW);
            while (!sent.isEmpty() && sent.getFirst().isBefore(oldest)) {
                sent.removeFirst();
            }
            assertThat(sent.size()).isLessThanOrEqualTo((int) (1.5 * limit * WINDOW.toSeconds() + 5));
        }
        assertThat(total).isGreaterThanOrEqualTo((int) (LEAST_USE * limit * RUN.toSeconds()));
    }

    @Test
    void responseWithoutALimitEndsIt() {
        final SiteFixture site = limitedSite();
        assertThat(isServedByLimitedUpstream(site)).isTrue();
        assertThat(isServedByLimitedUpstream(site)).isFalse();

        announce(site, LIMITED, Optional.empty());

        assertThat(isServedByLimitedUpstream(site)).isTrue();
    }

    @Test
    void otherUpstreamsTakeTheCallsBeyondTheLimit() {
        final SiteFixture site = limitedSite();
        site.changeStore(new StoreChange.UpstreamRegistered(restarted(OTHER)));
        isServedByLimitedUpstream(site);

        for (int i = 0; i < 20; i++) {
            assertThat(site.lastSend(site.call("/read/x")).upstream().name()).isEqualTo(OTHER);
        }
    }

    /** Creates an instance to which the first upstream has named a limit and the second one that it leaves. */
    private static SiteFixture limitedSite() {
        final SiteFixture site = SiteFixture.serving();
        announce(site, LIMITED, Optional.of(0.1));
        site.step(new Event.UpstreamNoticeReceived(new UpstreamNotice(
                new UpstreamStart(OTHER, 1), new RequestIdentifier("other"), true, Optional.empty())));
        return site;
    }

    private static RegisteredUpstream restarted(final UpstreamName name) {
        return new RegisteredUpstream(
                name,
                2,
                SiteFixture.LEDGER,
                new PeerAddress("127.0.0.1", 80),
                SiteFixture.REMOTE_DOMAIN,
                UpstreamRole.PLAIN,
                8,
                false,
                Duration.ZERO);
    }

    private static void announce(final SiteFixture site, final UpstreamName upstream, final Optional<Double> limit) {
        site.step(new Event.UpstreamNoticeReceived(new UpstreamNotice(
                new UpstreamStart(upstream, 1), new RequestIdentifier("other"), false, Optional.empty(), limit)));
    }

    private static boolean isServedByLimitedUpstream(final SiteFixture site) {
        final RequestIdentifier request = site.call("/read/x", 1);
        final boolean sent = !site.instructions(request).isEmpty()
                && site.lastInstruction(request) instanceof Send send
                && send.upstream().name().equals(LIMITED);
        if (sent) {
            site.endAttempt(request, new CallResult.Served());
        } else {
            site.step(new Event.CallAbandoned(request));
        }
        site.effects().removeIf(Effect.InstructCall.class::isInstance);
        return sent;
    }
}
