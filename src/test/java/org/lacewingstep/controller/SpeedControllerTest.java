package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.WorkMeasurement;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.SpeedKey;
import org.lacewingstep.domain.SpeedSum;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.domain.UpstreamUse;
import org.lacewingstep.domain.WorkKind;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/** Tests how speeds of upstreams are measured, shared and used to choose upstreams. */
class SpeedControllerTest {
    private static final Member OTHER = SiteFixture.member("b");
    private static final UpstreamName LEDGER_1 = new UpstreamName("ledger-1");
    private static final UpstreamName LEDGER_2 = new UpstreamName("ledger-2");
    private static final UpstreamName DECODE_1 = new UpstreamName("decode-1");
    private static final UpstreamName DECODE_2 = new UpstreamName("decode-2");

    private final SiteFixture site = SiteFixture.serving();

    @Test
    void slowUpstreamReceivesAShareByItsSpeed() {
        measure(site, LEDGER_1, WorkKind.PLAIN_CALL, 0.12, 30);
        measure(site, LEDGER_2, WorkKind.PLAIN_CALL, 0.03, 30);

        final Map<UpstreamName, Integer> running = placeCalls(site, "/read/x", 10);

        assertThat(running.get(LEDGER_1)).isBetween(1, 3);
        assertThat(running.get(LEDGER_2)).isBetween(7, 9);
    }

    @Test
    void equalSpeedsLeaveTheChoiceToTheNumberOfRequests() {
        final Random random = new Random(7);
        for (int round = 0; round < 200; round++) {
            final SiteFixture unmeasured = SiteFixture.serving();
            final SiteFixture measured = SiteFixture.serving();
            measure(measured, DECODE_1, WorkKind.OUTPUT_EVENT, 0.05, 20);
            measure(measured, DECODE_2, WorkKind.OUTPUT_EVENT, 0.05, 20);
            measure(measured, LEDGER_1, WorkKind.PLAIN_CALL, 0.05, 20);
            measure(measured, LEDGER_2, WorkKind.PLAIN_CALL, 0.05, 20);
            final Map<UpstreamName, UpstreamUse> uses = new HashMap<>();
            for (final UpstreamName upstream : Set.of(LEDGER_1, LEDGER_2, DECODE_1, DECODE_2)) {
                uses.put(upstream, new UpstreamUse(random.nextInt(4), 0));
            }
            final PeerMessage.SiteLoad load = new PeerMessage.SiteLoad(uses, Map.of(), Map.of(), Set.of());
            final String path = round % 2 == 0 ? "/read/x" : "/stream/x";

            unmeasured.step(new Event.PeerLoadReported(OTHER.incarnation(), load));
            measured.step(new Event.PeerLoadReported(OTHER.incarnation(), load));

            assertThat(chosen(measured, path)).isEqualTo(chosen(unmeasured, path));
        }
    }

    @Test
    void doubledAndLateReportsChangeNothing() {
        final Map<SpeedKey, SpeedSum> early = sums(LEDGER_1, 5, 0.02);
        final Map<SpeedKey, SpeedSum> late = sums(LEDGER_1, 20, 0.2);
        report(site, late);
        final SpeedSum once = merged(site, LEDGER_1);

        report(site, late);
        report(site, early);

        assertThat(merged(site, LEDGER_1)).isEqualTo(once);
    }

    @Test
    void lostReportIsMadeUpForByTheNextOne() {
        final SiteFixture complete = SiteFixture.serving();
        report(complete, sums(LEDGER_1, 5, 0.02));
        report(complete, sums(LEDGER_1, 20, 0.2));
        report(site, sums(LEDGER_1, 20, 0.2));

        assertThat(merged(site, LEDGER_1).weight())
                .isCloseTo(merged(complete, LEDGER_1).weight(), within(1e-9));
        assertThat(merged(site, LEDGER_1).logSum())
                .isCloseTo(merged(complete, LEDGER_1).logSum(), within(1e-9));
    }

    @Test
    void newStartOfAnUpstreamBeginsAtThePriorOfItsService() {
        measure(site, LEDGER_1, WorkKind.PLAIN_CALL, 0.12, 30);
        measure(site, LEDGER_2, WorkKind.PLAIN_CALL, 0.03, 30);
        final RegisteredUpstream restarted = new RegisteredUpstream(
                LEDGER_1,
                2,
                SiteFixture.LEDGER,
                upstream(LEDGER_1).address(),
                SiteFixture.LOCAL_DOMAIN,
                upstream(LEDGER_1).role(),
                8,
                false,
                Duration.ZERO);

        assertThat(UpstreamSpeeds.slowness(site.board(), upstream(LEDGER_1), site.now()))
                .isGreaterThan(1.5);
        assertThat(UpstreamSpeeds.slowness(site.board(), restarted, site.now())).isEqualTo(1);
    }

    @Test
    void measuredSpeedsAreForgottenWhenReportsStop() {
        report(site, sums(LEDGER_1, 40, 0.2));
        measure(site, LEDGER_2, WorkKind.PLAIN_CALL, 0.02, 40);
        assertThat(UpstreamSpeeds.slowness(site.board(), upstream(LEDGER_1), site.now()))
                .isGreaterThan(1.5);

        site.advanceClock(Duration.ofMinutes(2));

        assertThat(UpstreamSpeeds.slowness(site.board(), upstream(LEDGER_1), site.now()))
                .isEqualTo(1);
    }

    @Test
    void reportsAreBounded() {
        for (int start = 0; start < 3 * UpstreamSpeeds.MAX_REPORTED; start++) {
            final UpstreamName name = new UpstreamName("more-" + start);
            site.changeStore(new StoreChange.UpstreamRegistered(SiteFixture.upstream(
                    name.value(), SiteFixture.LEDGER, upstream(LEDGER_1).role(), SiteFixture.LOCAL_DOMAIN)));
            measure(site, name, WorkKind.PLAIN_CALL, 0.05, 1);
        }

        assertThat(UpstreamSpeeds.reported(site.board(), site.now())).hasSize(UpstreamSpeeds.MAX_REPORTED);
    }

    private static Map<UpstreamName, Integer> placeCalls(final SiteFixture site, final String path, final int calls) {
        final Map<UpstreamName, Integer> running = new HashMap<>();
        for (int i = 0; i < calls; i++) {
            running.merge(site.lastSend(site.call(path)).upstream().name(), 1, Integer::sum);
        }
        return running;
    }

    private static UpstreamName chosen(final SiteFixture site, final String path) {
        final RequestIdentifier request = site.call(path);
        final UpstreamName chosen = site.lastSend(request).upstream().name();
        site.endAttempt(request, new CallResult.Served());
        return chosen;
    }

    private RegisteredUpstream upstream(final UpstreamName name) {
        return UpstreamChoice.findRegistered(site.board(), name).orElseThrow();
    }

    private static SpeedSum merged(final SiteFixture site, final UpstreamName name) {
        return site.board()
                .serving()
                .learned()
                .speeds()
                .merged()
                .get(new SpeedKey(new UpstreamStart(name, 1), WorkKind.PLAIN_CALL));
    }

    private static Map<SpeedKey, SpeedSum> sums(final UpstreamName name, final int samples, final double seconds) {
        return Map.of(
                new SpeedKey(new UpstreamStart(name, 1), WorkKind.PLAIN_CALL),
                new SpeedSum(samples, samples, samples * Math.log(seconds), Instant.EPOCH));
    }

    private static void report(final SiteFixture site, final Map<SpeedKey, SpeedSum> speeds) {
        site.step(new Event.PeerLoadReported(
                OTHER.incarnation(),
                new PeerMessage.SiteLoad(Map.of(), Map.of(), Map.of(), Set.of(), Map.of(), speeds, Map.of())));
    }

    private static void measure(
            final SiteFixture site,
            final UpstreamName name,
            final WorkKind kind,
            final double seconds,
            final int samples) {
        for (int i = 0; i < samples; i++) {
            site.step(new Event.WorkMeasured(new WorkMeasurement(
                    new RequestIdentifier("measured"), new UpstreamStart(name, 1), kind, 1, Duration.ofNanos((long)
                            (seconds * 1e9)))));
        }
    }
}
