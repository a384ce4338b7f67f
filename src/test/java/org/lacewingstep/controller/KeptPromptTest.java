package org.lacewingstep.controller;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallParameters;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.RegistrySection.Entry;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.WorkMeasurement;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.PromptSegment;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.TokenDemand;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.domain.UpstreamUse;
import org.lacewingstep.domain.WorkKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the choice between engines that keep the beginning of a prompt and engines that do not. */
class KeptPromptTest {
    private static final int PROMPT = 100;
    private static final int SHARED = 90;
    private static final List<UpstreamName> PREFILLS =
            List.of(new UpstreamName("prefill-1"), new UpstreamName("prefill-2"));

    private final SiteFixture site = SiteFixture.serving();
    private int calls;

    @BeforeEach
    void addPrefillUpstream() {
        site.changeStore(new StoreChange.UpstreamRegistered(SiteFixture.upstream(
                "prefill-2", SiteFixture.ENGINES, UpstreamRole.PREFILL, SiteFixture.LOCAL_DOMAIN)));
    }

    @Test
    void freeEngineThatKeepsTheBeginningIsPreferred() {
        final UpstreamName holder = read("head");

        for (int i = 0; i < 8; i++) {
            assertThat(read("head")).isEqualTo(holder);
        }
    }

    @Test
    void popularBeginningSpreadsToOtherEngines() {
        final UpstreamName holder = read("head");
        final Set<UpstreamName> used = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            used.add(prefill(call("head")));
        }

        assertThat(used).contains(holder).hasSize(2);
    }

    @Test
    void busyEngineIsNotPreferredForWhatItKeeps() {
        final UpstreamName holder = read("head");
        report(holder, 2);

        assertThat(read("head")).isNotEqualTo(holder);
    }

    @Test
    void slowEngineIsNotPreferredForWhatItKeeps() {
        final UpstreamName holder = read("head");
        for (int i = 0; i < 20; i++) {
            for (final UpstreamName name : PREFILLS) {
                final int milliseconds = name.equals(holder) ? 800 : 25;
                measure(call("other" + i), name, milliseconds);
            }
            site.advanceClock(Duration.ofMillis(10));
        }
        site.advanceClock(Duration.ofMillis(1100));

        assertThat(KeptPromptEstimate.savedFraction(site.board(), find(call("head")), upstream(holder), site.now()))
                .isGreaterThan(0.1);
        assertThat(UpstreamCost.of(
                        site.board(), find(call("head")), entry(holder), SiteFixture.LOCAL_DOMAIN, site.now()))
                .isGreaterThan(UpstreamCost.of(
                        site.board(), find(call("head")), entry(other(holder)), SiteFixture.LOCAL_DOMAIN, site.now()));
    }

    @Test
    void wrongEstimateEndsWhenTheEngineReadsTheWholePrompt() {
        final UpstreamName holder = read("head");
        for (int i = 0; i < 4; i++) {
            measure(call("other" + i), other(holder), 100);
        }
        final RequestIdentifier request = call("head");
        assertThat(kept(request, holder)).isPositive();

        measure(request, holder, 150);

        assertThat(kept(request, holder)).isZero();
        assertThat(site.board().serving().learned().keptPrompts().wrongEstimates())
                .isEqualTo(1);
    }

    @Test
    void restartedEngineKeepsNothing() {
        final UpstreamName holder = read("head");
        final RegisteredUpstream before = upstream(holder);
        site.changeStore(new StoreChange.UpstreamRegistered(new RegisteredUpstream(
                holder,
                2,
                before.service(),
                before.address(),
                before.failureDomain(),
                before.role(),
                before.slots(),
                false,
                Duration.ZERO)));

        assertThat(kept(call("head"), holder)).isZero();
    }

    @Test
    void partsYieldWhenTheEngineHasReadMoreThanItsMemory() {
        final UpstreamName holder = read("head");
        final RequestIdentifier request = call("head");
        assertThat(kept(request, holder)).isEqualTo(SHARED);

        for (int i = 0; i < SiteFixture.MEMORY_TOKENS / PROMPT; i++) {
            report(other(holder), 9);
            read("other" + i);
        }

        assertThat(kept(request, holder)).isZero();
    }

    @Test
    void requestsWithoutPartsAreChosenForAsBefore() {
        final UpstreamName holder = read("head");
        final RequestIdentifier request = new RequestIdentifier("without parts");
        arrive(request, List.of());

        assertThat(KeptPromptEstimate.savedFraction(site.board(), find(request), upstream(holder), site.now()))
                .isZero();
    }

    private UpstreamName read(final String head) {
        final RequestIdentifier request = call(head);
        final UpstreamName prefill = prefill(request);
        site.step(new Event.PrefillEnded(request, 1, new CallResult.Served()));
        site.endAttempt(request, new CallResult.Served());
        site.advanceClock(Duration.ofMillis(300));
        return prefill;
    }

    private UpstreamName prefill(final RequestIdentifier request) {
        return site.lastSend(request).prefill().orElseThrow().name();
    }

    private RequestIdentifier call(final String head) {
        calls++;
        final RequestIdentifier request = new RequestIdentifier("k" + calls);
        arrive(
                request,
                List.of(
                        new PromptSegment(new PromptPart(head), SHARED),
                        new PromptSegment(new PromptPart("own" + calls), PROMPT - SHARED)));
        return request;
    }

    private void arrive(final RequestIdentifier request, final List<PromptSegment> segments) {
        site.step(new Event.CallArrived(new CallParameters(
                request,
                SiteFixture.HOST,
                "/stream/x",
                Optional.of(SiteFixture.KEY),
                Optional.of(new TokenDemand(PROMPT, 0)),
                List.of(),
                segments,
                Duration.ofSeconds(2),
                site.now())));
    }

    private Call find(final RequestIdentifier request) {
        return KeptPromptEstimate.findCall(site.board(), request).orElseThrow();
    }

    private double kept(final RequestIdentifier request, final UpstreamName engine) {
        return KeptPromptEstimate.keptTokens(site.board(), find(request), upstream(engine));
    }

    private void measure(final RequestIdentifier request, final UpstreamName name, final int milliseconds) {
        site.step(new Event.WorkMeasured(new WorkMeasurement(
                request, new UpstreamStart(name, 1), WorkKind.PROMPT_TOKEN, 1, Duration.ofMillis(milliseconds))));
    }

    private void report(final UpstreamName name, final int requests) {
        site.step(new Event.PeerLoadReported(
                SiteFixture.member("b").incarnation(),
                new PeerMessage.SiteLoad(Map.of(name, new UpstreamUse(requests, 0)), Map.of(), Map.of(), Set.of())));
    }

    private RegisteredUpstream upstream(final UpstreamName name) {
        return entry(name).upstream();
    }

    private Entry entry(final UpstreamName name) {
        return site.board().serving().registry().upstreams().get(name);
    }

    private static UpstreamName other(final UpstreamName name) {
        return PREFILLS.get(1 - PREFILLS.indexOf(name));
    }
}
