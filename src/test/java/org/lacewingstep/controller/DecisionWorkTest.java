package org.lacewingstep.controller;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.RegistrySection;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.UpstreamLoadSection;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamUse;
import org.pcollections.PMap;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the work of a decision does not grow with the number of upstreams and of other instances. */
class DecisionWorkTest {
    private static final int MAX_EXAMINED = 32;
    private static final int INSTANCES = 76;

    private final AtomicInteger lookups = new AtomicInteger();

    @Test
    void choiceExaminesBoundedNumberOfUpstreamsWhenAllAreFull() {
        for (final int upstreams : new int[] {100, 1000}) {
            final SiteFixture site = largeSite(upstreams);
            reportLoad(site, "a1", upstreams, SiteFixture.MEMORY_TOKENS * 2);
            final Call call = queuedCall(site);
            lookups.set(0);

            assertThat(choose(countingRegistry(site), call, site.now())).isEmpty();

            assertThat(lookups.get()).isBetween(1, MAX_EXAMINED);
        }
    }

    @Test
    void onlyFreeUpstreamOfAFullSiteIsFoundByALaterSearch() {
        final SiteFixture site = largeSite(100);
        reportLoad(site, "a1", 99, SiteFixture.MEMORY_TOKENS * 2);
        final Call call = queuedCall(site);

        final Set<Optional<UpstreamName>> found = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            found.add(choose(site.board(), call, site.now().plusMillis(40L * i)).map(RegisteredUpstream::name));
        }

        assertThat(found).contains(Optional.of(name(99)));
    }

    @Test
    void useOfAnUpstreamIsAddedWhenReportsArrive() {
        final SiteFixture site = largeSite(10);
        for (int i = 0; i < INSTANCES; i++) {
            reportLoad(site, "a" + i, 10, 5);
        }
        final UpstreamLoadSection known = site.board().serving().loads();
        final UpstreamLoadSection counting = new UpstreamLoadSection(
                known.loads(),
                counting(known.peers(), lookups),
                known.peerUses(),
                known.oldestPeer(),
                known.broadcast());
        lookups.set(0);

        assertThat(counting.use(name(1), site.now().minusSeconds(1)).requests()).isEqualTo(INSTANCES);

        assertThat(lookups.get()).isZero();
    }

    @Test
    void changedEntryOfAnUpstreamLeavesTheIndexUntouched() {
        final SiteFixture site = largeSite(300);
        final PMap<RegistrySection.Pool, ?> pools =
                site.board().serving().registry().pools();

        site.changeStore(new StoreChange.UpstreamRegistered(SiteFixture.draining(decode(5))));

        assertThat(site.board().serving().registry().pools()).isSameAs(pools);
    }

    @Test
    void indexFollowsRegisteredChangedAndExpiredUpstreams() {
        final SiteFixture site = largeSite(3);
        site.changeStore(
                new StoreChange.UpstreamRegistered(SiteFixture.upstream(
                        name(1).value(), SiteFixture.ENGINES, UpstreamRole.PREFILL, SiteFixture.LOCAL_DOMAIN)),
                new StoreChange.UpstreamUnregistered(name(2)));
        site.advanceClock(Duration.ofSeconds(2));
        site.changeStore();

        final RegistrySection registry = site.board().serving().registry();
        assertThat(registry.pool(SiteFixture.ENGINES, UpstreamRole.DECODE))
                .containsExactly(new UpstreamName("decode-1"), new UpstreamName("decode-2"), name(0));
        assertThat(registry.pool(SiteFixture.ENGINES, UpstreamRole.PREFILL))
                .containsExactly(name(1), new UpstreamName("prefill-1"));
    }

    private static SiteFixture largeSite(final int upstreams) {
        final SiteFixture site = SiteFixture.serving();
        site.changeStore(SiteFixture.presentInstances("a", INSTANCES));
        for (int i = 0; i < upstreams; i++) {
            site.changeStore(new StoreChange.UpstreamRegistered(decode(i)));
        }
        return site;
    }

    private static RegisteredUpstream decode(final int number) {
        return SiteFixture.upstream(
                name(number).value(), SiteFixture.ENGINES, UpstreamRole.DECODE, SiteFixture.LOCAL_DOMAIN);
    }

    private static UpstreamName name(final int number) {
        return new UpstreamName("engine-%03d".formatted(number));
    }

    /** Reports that the first upstreams run a request of a size each, as do the two of the fixture. */
    private static void reportLoad(
            final SiteFixture site, final String instance, final int upstreams, final long tokens) {
        final Map<UpstreamName, UpstreamUse> uses = new HashMap<>();
        for (int i = 0; i < upstreams; i++) {
            uses.put(name(i), new UpstreamUse(1, tokens));
        }
        uses.put(new UpstreamName("decode-1"), new UpstreamUse(1, tokens));
        uses.put(new UpstreamName("decode-2"), new UpstreamUse(1, tokens));
        site.step(new Event.PeerMessageReceived(
                SiteFixture.member(instance).incarnation(),
                new PeerMessage.SiteLoad(uses, Map.of(), Map.of(), Set.of())));
    }

    private static Call queuedCall(final SiteFixture site) {
        RequestIdentifier request = site.call("/stream/x");
        while (!site.instructions(request).isEmpty()) {
            request = site.call("/stream/x");
        }
        return site.board().serving().calls().calls().get(request);
    }

    private static Optional<RegisteredUpstream> choose(final Blackboard board, final Call call, final Instant now) {
        return UpstreamChoice.choose(board, call, CallPlacement.RESPONDING_ROLES, SiteFixture.LOCAL_DOMAIN, now);
    }

    private Blackboard countingRegistry(final SiteFixture site) {
        final RegistrySection known = site.board().serving().registry();
        return site.board()
                .with(new RegistrySection(
                        counting(known.upstreams(), lookups),
                        known.pools(),
                        known.revision(),
                        known.checkedAt(),
                        known.readAt()));
    }

    /** Counts the calls of any method of a map. */
    @SuppressWarnings("unchecked")
    private static <K, V> PMap<K, V> counting(final PMap<K, V> map, final AtomicInteger count) {
        return (PMap<K, V>) Proxy.newProxyInstance(
                PMap.class.getClassLoader(), new Class<?>[] {PMap.class}, (proxy, method, arguments) -> {
                    count.incrementAndGet();
                    try {
                        return method.invoke(map, arguments);
                    } catch (final InvocationTargetException failure) {
                        throw failure.getCause();
                    }
                });
    }
}
