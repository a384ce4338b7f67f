package org.lacewingstep.control;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.StoreRevision;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the time of control steps is added up by the kind of event, timer and message. */
class StepTimesTest {
    @Test
    void timeIsAddedUpByKind() {
        final MetricRegistry metrics = new MetricRegistry();
        final StepTimes times = new StepTimes(metrics);

        times.add(new Event.StoreRead(List.of(), new StoreRevision(0, 1), Instant.EPOCH), 5);
        times.add(new Event.StoreRead(List.of(), new StoreRevision(0, 2), Instant.EPOCH), 7);
        times.add(new Event.TimerFired(new TimerKey.LoadBroadcast()), 3);
        times.add(
                new Event.PeerMessageReceived(
                        new Incarnation(new InstanceName("b"), 1),
                        new PeerMessage.SiteLoad(Map.of(), Map.of(), Map.of(), Set.of())),
                2);

        assertThat(metrics.counter("control.steps.StoreRead").getCount()).isEqualTo(2);
        assertThat(metrics.counter("control.step_ns.StoreRead").getCount()).isEqualTo(12);
        assertThat(metrics.counter("control.step_ns.LoadBroadcast").getCount()).isEqualTo(3);
        assertThat(metrics.counter("control.step_ns.SiteLoad").getCount()).isEqualTo(2);
    }
}
