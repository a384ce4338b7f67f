package org.lacewingstep.controller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RolePlan;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamUse;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that exactly one instance orders idle engines to change their role, and only while its plan is fresh. */
class RoleControllerTest {
    private static final Member OTHER = SiteFixture.member("b");
    private static final long PLAN_REVISION = 200;

    private SiteFixture site = ready("a");

    private static SiteFixture ready(final String name) {
        final SiteFixture site = new SiteFixture(SiteFixture.member(name), true, 1000);
        final List<RegisteredUpstream> engines = new ArrayList<>();
        for (int i = 1; i <= 5; i++) {
            engines.add(engine("decode-" + i, UpstreamRole.DECODE));
        }
        for (int i = 1; i <= 3; i++) {
            engines.add(engine("prefill-" + i, UpstreamRole.PREFILL));
        }
        site.readStore(SiteFixture.table(1, 1_000_000), engines);
        site.changeStore(
                new StoreChange.InstanceRegistered(SiteFixture.member("a")), new StoreChange.InstanceRegistered(OTHER));
        site.step(new Event.TimerFired(new TimerKey.LifecycleCheck()));
        return site;
    }

    @Test
    void idlePrefillEngineIsOrderedToDecodeWhileTheMemoryIsFull() {
        final RolePlan plan = planWhileTheMemoryIsFull();

        assertThat(plan.author()).isEqualTo(site.board().identity().member().name());
        assertThat(plan.changes().values()).containsExactly(new RolePlan.Change(UpstreamRole.DECODE, 1));

        site.effects().clear();
        site.step(new Event.RolePlanWriteEnded(plan, Optional.of(new StoreRevision(0, PLAN_REVISION)), site.now()));

        assertThat(orders()).singleElement().satisfies(order -> {
            assertThat(order.engine().name())
                    .isEqualTo(plan.changes().keySet().iterator().next());
            assertThat(order.role()).isEqualTo(UpstreamRole.DECODE);
            assertThat(order.fence()).isEqualTo(PLAN_REVISION);
        });
    }

    @Test
    void changingEngineProcessesNoPrompts() {
        final RolePlan plan = planWhileTheMemoryIsFull();
        site.step(new Event.RolePlanWriteEnded(plan, Optional.of(new StoreRevision(0, PLAN_REVISION)), site.now()));
        reportMemoryUse(0);

        for (int i = 0; i < 20; i++) {
            final var request = site.call("/stream/x");
            assertThat(site.lastSend(request).prefill())
                    .hasValueSatisfying(prefill -> assertThat(plan.changes()).doesNotContainKey(prefill.name()));
            site.endAttempt(request, new CallResult.Served());
            site.advanceClock(Duration.ofMillis(500));
            site.confirmTable();
        }
    }

    @Test
    void lateResponseOfTheStoreSendsNoOrder() {
        final RolePlan plan = planWhileTheMemoryIsFull();
        final var requestedAt = site.now();
        site.effects().clear();
        site.advanceClock(RoleController.ORDER_PERIOD);

        site.step(new Event.RolePlanWriteEnded(plan, Optional.of(new StoreRevision(0, PLAN_REVISION)), requestedAt));

        assertThat(orders()).isEmpty();
    }

    @Test
    void responseAfterASuspensionSendsNoOrder() {
        final RolePlan plan = planWhileTheMemoryIsFull();
        site.effects().clear();
        site.step(new Event.ClockJumped(Duration.ofSeconds(5)));

        site.step(new Event.RolePlanWriteEnded(plan, Optional.of(new StoreRevision(0, PLAN_REVISION)), site.now()));

        assertThat(orders()).isEmpty();
    }

    @Test
    void onlyTheFirstInstancePlans() {
        site = ready("b");

        sampleWhileTheMemoryIsFull(SiteFixture.member("a"));

        assertThat(plans()).isEmpty();
    }

    @Test
    void planOfAnotherInstanceIsReplacedOnlyLongAfterItsOrders() {
        final RolePlan earlier = new RolePlan(
                OTHER.name(), Map.of(new UpstreamName("prefill-1"), new RolePlan.Change(UpstreamRole.DECODE, 1)));
        site.changeStore(new StoreChange.RolePlanChanged(earlier, new StoreRevision(0, PLAN_REVISION)));

        sampleWhileTheMemoryIsFull(OTHER);
        assertThat(plans()).isEmpty();

        site.advanceClock(Duration.ofSeconds(10));
        sampleWhileTheMemoryIsFull(OTHER);
        assertThat(plans()).singleElement().satisfies(write -> assertThat(write.expectedRevision())
                .isEqualTo(new StoreRevision(0, PLAN_REVISION)));
    }

    @Test
    void planIsTriedAgainSomeTimeAfterARefusedWrite() {
        final RolePlan plan = planWhileTheMemoryIsFull();
        site.step(new Event.RolePlanWriteEnded(plan, Optional.empty(), site.now()));
        site.effects().clear();

        sampleWhileTheMemoryIsFull(OTHER, 11);
        assertThat(plans()).isEmpty();

        sampleWhileTheMemoryIsFull(OTHER, 1);
        assertThat(plans()).hasSize(1);
    }

    private RolePlan planWhileTheMemoryIsFull() {
        sampleWhileTheMemoryIsFull(OTHER);
        assertThat(plans()).hasSize(1);
        return plans().getFirst().plan();
    }

    private void sampleWhileTheMemoryIsFull(final Member reporter) {
        sampleWhileTheMemoryIsFull(reporter, 12);
    }

    private void sampleWhileTheMemoryIsFull(final Member reporter, final int samples) {
        for (int i = 0; i < samples; i++) {
            reportMemoryUse(reporter, SiteFixture.MEMORY_TOKENS * 9 / 10);
            site.advanceClock(Duration.ofMillis(250));
            site.confirmTable();
            site.step(new Event.TimerFired(new TimerKey.RoleSample()));
        }
    }

    private void reportMemoryUse(final long tokens) {
        reportMemoryUse(OTHER, tokens);
    }

    private void reportMemoryUse(final Member reporter, final long tokens) {
        final Map<UpstreamName, UpstreamUse> uses = new HashMap<>();
        for (int i = 1; i <= 5; i++) {
            uses.put(new UpstreamName("decode-" + i), new UpstreamUse(tokens > 0 ? 3 : 0, tokens));
        }
        site.step(new Event.PeerMessageReceived(
                reporter.incarnation(), new PeerMessage.SiteLoad(uses, Map.of(), Map.of(), Set.of())));
    }

    private List<Effect.WriteRolePlan> plans() {
        return effects(Effect.WriteRolePlan.class);
    }

    private List<Effect.OrderRole> orders() {
        return effects(Effect.OrderRole.class);
    }

    private <E extends Effect> List<E> effects(final Class<E> type) {
        return site.effects().stream().filter(type::isInstance).map(type::cast).toList();
    }

    private static RegisteredUpstream engine(final String name, final UpstreamRole role) {
        return SiteFixture.upstream(name, SiteFixture.ENGINES, role, SiteFixture.LOCAL_DOMAIN);
    }
}
