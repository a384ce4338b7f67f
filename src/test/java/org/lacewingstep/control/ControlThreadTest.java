package org.lacewingstep.control;

import java.time.Duration;
import java.time.Instant;
import java.util.AbstractList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Identity;
import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RegionName;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.SitePolicy;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that an unexpected error in one effect or one step costs neither the other effects nor the thread. */
class ControlThreadTest {
    private static final FailureDomainName DOMAIN = new FailureDomainName("a");
    private static final Member SELF =
            new Member(new Incarnation(new InstanceName("i"), 1), new PeerAddress("127.0.0.1", 1), DOMAIN);

    @Test
    void failedEffectCostsOnlyItself() throws Exception {
        final BlockingQueue<Effect> handled = new LinkedBlockingQueue<>();
        final Member self =
                new Member(new Incarnation(new InstanceName("i"), 1), new PeerAddress("127.0.0.1", 1), DOMAIN);
        final ControlThread control = new ControlThread(
                Blackboard.initial(new Identity(self, Policy.DEFAULT)),
                new MonotonicClock(),
                effect -> {
                    if (effect instanceof Effect.Log || effect instanceof Effect.ReadStore) {
                        throw new IllegalStateException("no adapter");
                    }
                    handled.add(effect);
                },
                new MetricRegistry());

        control.start(new Event.SiteConfigured(policy(self), true));
        try {
            assertThat(handled.poll(30, TimeUnit.SECONDS)).isInstanceOf(Effect.RenewPresence.class);
            // The renewal timer was started in the same step, after the effects that failed.
            control.post(new Event.StoreRead(List.of(), new StoreRevision(0, 1), Instant.EPOCH));
            assertThat(handled.poll(30, TimeUnit.SECONDS)).isInstanceOf(Effect.AwaitStoreChanges.class);
            assertThat(handled.poll(30, TimeUnit.SECONDS)).isNotNull();
        } finally {
            control.stop();
        }
    }

    @Test
    void failedStepOfOneStoreChangeDoesNotEndTheWatch() throws Exception {
        final BlockingQueue<Effect> handled = new LinkedBlockingQueue<>();
        final ControlThread control = control(handled::add);
        control.start(new Event.SiteConfigured(policy(SELF), true));
        try {
            control.post(new Event.StoreRead(List.of(), new StoreRevision(0, 1), Instant.EPOCH));
            control.post(new Event.StoreChanged(
                    List.of(
                            registered("before", Duration.ZERO),
                            registered("odd", Duration.ofSeconds(Long.MAX_VALUE)),
                            registered("after", Duration.ZERO)),
                    new StoreRevision(0, 7)));

            awaitEffect(handled, new Effect.AwaitStoreChanges(new StoreRevision(0, 7), Duration.ofMillis(1500)));
            assertThat(control.board().serving().registry().upstreams().keySet())
                    .containsExactlyInAnyOrder(new UpstreamName("before"), new UpstreamName("after"));
        } finally {
            control.stop();
        }
    }

    @Test
    void failedStepOfOneItemOfTheStoreDoesNotEndTheReading() throws Exception {
        final BlockingQueue<Effect> handled = new LinkedBlockingQueue<>();
        final ControlThread control = control(handled::add);
        control.start(new Event.SiteConfigured(policy(SELF), true));
        try {
            control.post(new Event.StoreRead(
                    List.of(
                            registered("before", Duration.ZERO),
                            registered("odd", Duration.ofSeconds(Long.MAX_VALUE)),
                            registered("after", Duration.ZERO)),
                    new StoreRevision(0, 7),
                    Instant.EPOCH));

            awaitEffect(handled, new Effect.AwaitStoreChanges(new StoreRevision(0, 7), Duration.ofMillis(1500)));
            assertThat(control.board().serving().registry().upstreams().keySet())
                    .containsExactlyInAnyOrder(new UpstreamName("before"), new UpstreamName("after"));
        } finally {
            control.stop();
        }
    }

    @Test
    void errorInAnEffectOrAStepDoesNotEndTheThread() throws Exception {
        final BlockingQueue<Effect> handled = new LinkedBlockingQueue<>();
        final ControlThread control = control(effect -> {
            if (effect instanceof Effect.ReadStore) {
                throw new StackOverflowError();
            }
            handled.add(effect);
        });
        control.start(new Event.SiteConfigured(policy(SELF), true));
        try {
            control.post(new Event.StoreChanged(
                    new AbstractList<>() {
                        @Override
                        public StoreChange get(final int index) {
                            throw new StackOverflowError();
                        }

                        @Override
                        public int size() {
                            return 1;
                        }
                    },
                    new StoreRevision(0, 7)));
            control.post(new Event.StoreRead(List.of(), new StoreRevision(0, 8), Instant.EPOCH));

            awaitEffect(handled, new Effect.AwaitStoreChanges(new StoreRevision(0, 8), Duration.ofMillis(1500)));
        } finally {
            control.stop();
        }
    }

    private static ControlThread control(final EffectHandler handler) {
        return new ControlThread(
                Blackboard.initial(new Identity(SELF, Policy.DEFAULT)),
                new MonotonicClock(),
                handler,
                new MetricRegistry());
    }

    private static void awaitEffect(final BlockingQueue<Effect> handled, final Effect expected) throws Exception {
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        Effect effect = null;
        while (!expected.equals(effect)) {
            effect = handled.poll(end - System.nanoTime(), TimeUnit.NANOSECONDS);
            assertThat(effect).isNotNull();
        }
    }

    private static StoreChange registered(final String name, final Duration coldFor) {
        return new StoreChange.UpstreamRegistered(new RegisteredUpstream(
                new UpstreamName(name),
                1,
                new ServiceName("s"),
                new PeerAddress("127.0.0.1", 1),
                DOMAIN,
                UpstreamRole.PLAIN,
                1,
                false,
                coldFor));
    }

    private static SitePolicy policy(final Member self) {
        return new SitePolicy(
                self.name(),
                DOMAIN,
                Map.of(DOMAIN, new RegionName("r")),
                Duration.ofSeconds(5),
                Duration.ofSeconds(8),
                0.2,
                Duration.ofSeconds(10),
                50,
                Duration.ofSeconds(8),
                0.1,
                1000,
                1.5,
                5,
                Duration.ofSeconds(3));
    }
}
