package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.ToDoubleFunction;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.blackboard.WorkMeasurement;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.domain.UpstreamUse;
import org.lacewingstep.domain.WorkKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays loads of plain calls by twenty instances against upstreams of unequal speed, in simulated time. */
class UnevenLoadTest {
    private static final int INSTANCES = 20;
    private static final int SERVERS = 3;
    private static final int SLOTS = 8;
    private static final int QUEUE = 24;
    private static final double CALL_MILLIS = 40;
    private static final double TARGET_MILLIS = 300;
    private static final int DURATION_MILLIS = 10_000;

    private final Random random = new Random(36);
    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private final List<SiteFixture> sites = new ArrayList<>();
    private final Map<UpstreamName, Server> servers = new HashMap<>();
    private double millis;
    private long order;
    private int asked;
    private int onTime;
    private int rejected;
    private ToDoubleFunction<UpstreamName> slowness = name -> 1;

    private record Step(double at, long order, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(final Step other) {
            return at == other.at ? Long.compare(order, other.order) : Double.compare(at, other.at);
        }
    }

    private record Arrival(int site, RequestIdentifier request, double askedAt, double sentAt) {}

    private final class Server {
        private final UpstreamName name;
        private final List<Arrival> waiting = new ArrayList<>();
        private int running;

        Server(final UpstreamName name) {
            this.name = name;
        }

        void receive(final Arrival call) {
            if (running + waiting.size() >= SLOTS + QUEUE) {
                rejected++;
                end(call, new CallResult.NotRun(true));
                return;
            }
            waiting.add(call);
            startNext();
        }

        private void startNext() {
            if (running < SLOTS && !waiting.isEmpty()) {
                running++;
                final Arrival call = waiting.removeFirst();
                final double work = CALL_MILLIS * (0.5 + random.nextDouble()) * slowness.applyAsDouble(name);
                after(work, () -> complete(call));
            }
        }

        private void complete(final Arrival call) {
            running--;
            onTime += millis - call.askedAt <= TARGET_MILLIS ? 1 : 0;
            site(call.site)
                    .step(new Event.WorkMeasured(new WorkMeasurement(
                            call.request, new UpstreamStart(name, 1), WorkKind.PLAIN_CALL, 1, Duration.ofNanos((long)
                                    (1e6 * (millis - call.sentAt))))));
            end(call, new CallResult.Served());
            startNext();
        }
    }

    @BeforeEach
    void start() {
        for (int i = 0; i < INSTANCES; i++) {
            final SiteFixture site = new SiteFixture(SiteFixture.member("i" + i), true, 1000);
            site.readStore(SiteFixture.table(1, 1_000_000), SiteFixture.upstreams());
            site.changeStore(SiteFixture.presentInstances("i", INSTANCES));
            site.changeStore(new StoreChange.UpstreamRegistered(SiteFixture.upstream(
                    "ledger-3", SiteFixture.LEDGER, UpstreamRole.PLAIN, SiteFixture.LOCAL_DOMAIN)));
            sites.add(site);
            final int index = i;
            after(random.nextInt(500), () -> report(index));
        }
        for (int i = 1; i <= SERVERS; i++) {
            final UpstreamName name = new UpstreamName("ledger-" + i);
            servers.put(name, new Server(name));
        }
    }

    @Test
    void callersAreServedOnTimeWhereTwoThirdsOfTheUpstreamsAreSlow() {
        slowness = name -> name.value().equals("ledger-3") ? 0.6 : 1.4;

        play(index -> 1);

        assertThat(rejected).isZero();
        assertThat(onTime).isGreaterThan(asked * 95 / 100);
    }

    @Test
    void callersAreServedOnTimeWhereSomeInstancesHaveTwiceTheDemand() {
        play(index -> index < INSTANCES / 3 ? 2 : 0.5);

        assertThat(rejected).isZero();
        assertThat(onTime).isGreaterThan(asked * 95 / 100);
    }

    @Test
    void pausesOfAnUpstreamCostFewCalls() {
        slowness = name -> name.value().equals("ledger-2") && millis % 2000 < 500 ? 5 : 1;

        play(index -> 1);

        assertThat(rejected).isLessThan(asked / 50);
        assertThat(onTime).isGreaterThan(asked * 85 / 100);
    }

    /** Plays a load of about seven tenths of what upstreams of usual speed serve. */
    private void play(final ToDoubleFunction<Integer> demand) {
        final double perInstance = 0.7 * SERVERS * SLOTS / CALL_MILLIS / INSTANCES;
        for (int i = 0; i < INSTANCES; i++) {
            arrive(i, 1 / (perInstance * demand.applyAsDouble(i)));
        }
        while (!steps.isEmpty() && steps.peek().at < DURATION_MILLIS) {
            final Step next = steps.poll();
            millis = next.at;
            next.action.run();
        }
        assertThat(asked).isGreaterThan(3000);
    }

    private void arrive(final int index, final double meanGap) {
        after(-Math.log(1 - random.nextDouble()) * meanGap, () -> {
            asked++;
            final double askedAt = millis;
            final RequestIdentifier request = site(index).call("/post/x");
            deliver(index, request, askedAt);
            arrive(index, meanGap);
        });
    }

    private void deliver(final int index, final RequestIdentifier request, final double askedAt) {
        final List<CallInstruction> instructions = site(index).instructions(request);
        if (instructions.isEmpty()) {
            after(40, () -> {
                site(index).step(new Event.TimerFired(new TimerKey.CallQueue(SiteFixture.LEDGER)));
                deliver(index, request, askedAt);
            });
        } else if (instructions.getLast() instanceof Send send) {
            final Server server = servers.get(send.upstream().name());
            after(1, () -> server.receive(new Arrival(index, request, askedAt, millis)));
        }
    }

    private void end(final Arrival call, final CallResult result) {
        site(call.site).step(new Event.CallAttemptEnded(call.request, 1, result));
    }

    /** Reports what an instance runs and has measured to all others, half a second late. */
    private void report(final int index) {
        final SiteFixture site = site(index);
        site.confirmTable();
        final Map<UpstreamName, UpstreamUse> uses = new HashMap<>();
        servers.keySet()
                .forEach(name ->
                        uses.put(name, site.board().serving().loads().of(name).running()));
        final PeerMessage.SiteLoad load = new PeerMessage.SiteLoad(
                uses,
                Map.of(),
                Map.of(),
                Set.of(),
                Map.of(),
                UpstreamSpeeds.reported(site.board(), site.now()),
                Map.of());
        after(500, () -> {
            for (int other = 0; other < INSTANCES; other++) {
                if (other != index) {
                    site(other)
                            .step(new Event.PeerLoadReported(
                                    SiteFixture.member("i" + index).incarnation(), load));
                }
            }
        });
        after(500, () -> report(index));
    }

    private SiteFixture site(final int index) {
        final SiteFixture site = sites.get(index);
        final Duration behind =
                Duration.between(site.now(), Instant.EPOCH.plusSeconds(1000).plusNanos((long) (millis * 1e6)));
        site.advanceClock(behind);
        return site;
    }

    private void after(final double delay, final Runnable action) {
        order++;
        steps.add(new Step(millis + delay, order, action));
    }
}
