package org.lacewingstep.control;

import java.time.Duration;
import java.time.Instant;
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
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RegionName;
import org.lacewingstep.domain.SitePolicy;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that an unexpected error in one effect costs neither the other effects of the step nor the thread. */
class ControlThreadTest {
    private static final FailureDomainName DOMAIN = new FailureDomainName("a");

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
            control.post(new Event.StoreRead(List.of(), 1, Instant.EPOCH));
            assertThat(handled.poll(30, TimeUnit.SECONDS)).isInstanceOf(Effect.AwaitStoreChanges.class);
            assertThat(handled.poll(30, TimeUnit.SECONDS)).isNotNull();
        } finally {
            control.stop();
        }
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
