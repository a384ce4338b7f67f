package org.lacewingstep.controller;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamUse;

/**
 * Measures the processor time of a control step by the number of upstreams and of queued calls. Each
 * row runs in a process of its own with the options of the deploy file, so that its first steps run code that is not
 * compiled yet.
 */
final class ControlStepCost {
    private static final int[] UPSTREAMS = {10, 100, 300};
    private static final int[] QUEUED = {0, 10, 100, 1000};
    private static final int INSTANCES = 76;
    private static final int COLD_STEPS = 100;
    private static final int WARM_UP_STEPS = 3000;
    private static final int WARM_STEPS = 1000;
    private static final Duration ARRIVAL_INTERVAL = Duration.ofMillis(40);
    private static final int ARRIVALS_PER_REPORT = 50;
    private static final long LIGHT_LOAD_TOKENS = 8;

    /** Least processor time spent on the queue polls of a row, so that large rows end in time. */
    private static final Duration POLL_LIMIT = Duration.ofSeconds(6);

    private static final List<String> OPTIONS = List.of(
            "-Xmx96m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "--sun-misc-unsafe-memory-access=allow");

    private ControlStepCost() {}

    /**
     * Prints the table, or one row of it.
     *
     * @param arguments none, or the numbers of upstreams and of queued calls of one row
     * @throws IOException if a process can't be started
     */
    public static void main(final String[] arguments) throws IOException {
        if (arguments.length == 2) {
            System.out.println(measure(Integer.parseInt(arguments[0]), Integer.parseInt(arguments[1])));
            return;
        }
        System.out.println("| upstreams | queued | arrival, first 100 (us) | arrival, warm (us) "
                + "| queue poll, first 100 (us) | queue poll, warm (us) |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        for (final int upstreams : UPSTREAMS) {
            for (final int queued : QUEUED) {
                System.out.print(runRow(upstreams, queued));
            }
        }
    }

    private static String runRow(final int upstreams, final int queued) throws IOException {
        final List<String> command = new ArrayList<>();
        command.add(System.getProperty("java.home") + "/bin/java");
        command.addAll(OPTIONS);
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                ControlStepCost.class.getName(),
                Integer.toString(upstreams),
                Integer.toString(queued)));
        final Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private static String measure(final int upstreams, final int queued) {
        final SiteFixture site = site(upstreams);
        if (queued == 0) {
            final double cold = arrivals(site, upstreams, COLD_STEPS);
            arrivals(site, upstreams, WARM_UP_STEPS);
            return row(upstreams, queued, cold, arrivals(site, upstreams, WARM_STEPS), "-", "-");
        }
        receiveLoads(site, upstreams, SiteFixture.MEMORY_TOKENS * 2);
        for (int i = 0; i < queued; i++) {
            site.call("/stream/x");
            site.effects().clear();
        }
        final double cold = polls(site, COLD_STEPS);
        polls(site, WARM_UP_STEPS);
        return row(upstreams, queued, -1, -1, format(cold), format(polls(site, WARM_STEPS)));
    }

    private static String row(
            final int upstreams,
            final int queued,
            final double coldArrival,
            final double warmArrival,
            final String coldPoll,
            final String warmPoll) {
        return "| " + upstreams + " | " + queued + " | " + format(coldArrival) + " | " + format(warmArrival) + " | "
                + coldPoll + " | " + warmPoll + " |";
    }

    private static String format(final double micros) {
        return micros < 0 ? "-" : "%.0f".formatted(micros);
    }

    /** Measures steps for the arrival of a call that finds a place. */
    private static double arrivals(final SiteFixture site, final int upstreams, final int count) {
        long total = 0;
        for (int i = 0; i < count; i++) {
            site.advanceClock(ARRIVAL_INTERVAL);
            if (i % ARRIVALS_PER_REPORT == 0) {
                site.confirmTable();
                receiveLoads(site, upstreams, LIGHT_LOAD_TOKENS);
            }
            final long start = processorTime();
            final RequestIdentifier request = site.call("/stream/x");
            total += processorTime() - start;
            if (site.instructions(request).isEmpty()) {
                site.step(new Event.CallAbandoned(request));
            } else {
                site.endAttempt(request, new CallResult.Served());
            }
            site.effects().clear();
        }
        return total / 1000.0 / count;
    }

    /** Measures steps in which every queued call looks for a place and finds none. */
    private static double polls(final SiteFixture site, final int count) {
        long total = 0;
        int done = 0;
        while (done < count && total < POLL_LIMIT.toNanos()) {
            final long start = processorTime();
            site.step(new Event.TimerFired(new TimerKey.CallQueue(SiteFixture.ENGINES)));
            total += processorTime() - start;
            done++;
            site.effects().clear();
        }
        return total / 1000.0 / done;
    }

    private static long processorTime() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static SiteFixture site(final int upstreams) {
        final SiteFixture site = SiteFixture.serving();
        site.changeStore(SiteFixture.presentInstances("a", INSTANCES));
        final StoreChange[] changes = new StoreChange[upstreams];
        for (int i = 0; i < upstreams; i++) {
            changes[i] = new StoreChange.UpstreamRegistered(SiteFixture.upstream(
                    name(i),
                    SiteFixture.ENGINES,
                    i % 4 == 0 ? UpstreamRole.PREFILL : UpstreamRole.DECODE,
                    i % 2 == 0 ? SiteFixture.LOCAL_DOMAIN : SiteFixture.REMOTE_DOMAIN));
        }
        site.changeStore(changes);
        return site;
    }

    private static String name(final int number) {
        return "decode-" + (number + 1);
    }

    /** Receives a report of each other instance, in which each upstream runs a request. */
    private static void receiveLoads(final SiteFixture site, final int upstreams, final long tokens) {
        final Map<UpstreamName, UpstreamUse> uses = new HashMap<>();
        for (int i = 0; i < Math.max(2, upstreams); i++) {
            uses.put(new UpstreamName(name(i)), new UpstreamUse(1, tokens));
        }
        for (int i = 0; i < INSTANCES; i++) {
            site.step(new Event.PeerMessageReceived(
                    SiteFixture.member("a" + i).incarnation(),
                    new PeerMessage.SiteLoad(uses, Map.of(), Map.of(), Set.of())));
        }
        site.effects().clear();
    }
}
