package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;

/** Sends calls to a fleet whose upstreams crash when they begin a response to a prompt with a harmful part. */
final class PromptTraffic {
    static final PromptPart SHARED = new PromptPart("5c1e07a2");
    static final PromptPart HARMFUL = new PromptPart("91bd3f06");

    static final int UPSTREAMS = 12;

    private static final Duration TICK = Duration.ofMillis(10);
    private static final Duration TIME_TO_FIRST_EVENT = Duration.ofMillis(250);
    private static final Duration RESPONSE_TIME = Duration.ofMillis(1000);
    private static final Duration RESTART_TIME = Duration.ofSeconds(3);

    private final RelayFleet fleet;
    private final Set<UpstreamName> running = new HashSet<>();
    private final Map<RegisteredUpstream, Instant> restarts = new HashMap<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<SentCall> calls = new ArrayList<>();
    private final List<Instant> harmfulSends = new ArrayList<>();
    private final List<Instant> harmfulCrashes = new ArrayList<>();
    private boolean crashesAfterFirstEvent;
    private int starts;

    /** A call and the instructions that the traffic threads have received for it. */
    static final class SentCall {
        private final SiteFixture site;
        private final RequestIdentifier request;
        private final List<PromptPart> parts;
        private final Instant sentAt;
        private int handled;

        private SentCall(
                final SiteFixture site,
                final RequestIdentifier request,
                final List<PromptPart> parts,
                final Instant sentAt) {
            this.site = site;
            this.request = request;
            this.parts = parts;
            this.sentAt = sentAt;
        }

        Instant sentAt() {
            return sentAt;
        }

        List<CallInstruction> instructions() {
            return site.instructions(request);
        }

        boolean isHarmful() {
            return parts.contains(HARMFUL);
        }
    }

    /** An attempt of a call that an upstream runs. */
    private record Attempt(SentCall call, int number, UpstreamName upstream, Instant startedAt) {}

    PromptTraffic(final int instances, final long seed) {
        final List<RegisteredUpstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(nextStart());
        }
        upstreams.forEach(upstream -> running.add(upstream.name()));
        fleet = new RelayFleet(instances, 3, new Random(seed), upstreams);
    }

    private RegisteredUpstream nextStart() {
        starts++;
        return SiteFixture.upstream(
                "ledger-" + starts, SiteFixture.LEDGER, UpstreamRole.PLAIN, SiteFixture.LOCAL_DOMAIN);
    }

    /** Sends a call that may run again. */
    SentCall call(final int instance, final PromptPart... parts) {
        return call("/read/x", instance, parts);
    }

    /** Sends a call that may run once. */
    SentCall callOnce(final int instance, final PromptPart... parts) {
        return call("/post/x", instance, parts);
    }

    private SentCall call(final String path, final int instance, final PromptPart... parts) {
        final SiteFixture site = fleet.sites().get(instance);
        final SentCall call = new SentCall(site, site.call(path, 1, List.of(parts)), List.of(parts), fleet.now());
        calls.add(call);
        handleInstructions(call);
        return call;
    }

    /** Lets upstreams send an event of the response to a harmful call before they crash. */
    void crashAfterFirstEvent() {
        crashesAfterFirstEvent = true;
    }

    /** Crashes the upstreams with the most running attempts at the same moment. */
    void crash(final int count) {
        running.stream()
                .sorted(Comparator.comparingLong(this::countAttempts)
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .limit(count)
                .toList()
                .forEach(this::crash);
    }

    private long countAttempts(final UpstreamName upstream) {
        return attempts.stream()
                .filter(attempt -> attempt.upstream().equals(upstream))
                .count();
    }

    private void crash(final UpstreamName upstream) {
        running.remove(upstream);
        restarts.put(nextStart(), fleet.now().plus(RESTART_TIME));
        fleet.write(new StoreChange.UpstreamUnregistered(upstream));
        for (final Attempt attempt : List.copyOf(attempts)) {
            if (attempt.upstream().equals(upstream)) {
                end(attempt, new CallResult.Broken(false, hasBegun(attempt), progress(attempt)));
            }
        }
    }

    private Optional<Duration> progress(final Attempt attempt) {
        if (attempt.call().isHarmful() ? !crashesAfterFirstEvent : !hasBegun(attempt)) {
            return Optional.empty();
        }
        return Optional.of(Duration.between(attempt.startedAt().plus(TIME_TO_FIRST_EVENT), fleet.now()));
    }

    private boolean hasBegun(final Attempt attempt) {
        return !fleet.now().isBefore(attempt.startedAt().plus(TIME_TO_FIRST_EVENT));
    }

    private void end(final Attempt attempt, final CallResult result) {
        attempts.remove(attempt);
        attempt.call().site.step(new Event.CallAttemptEnded(attempt.call().request, attempt.number(), result));
        handleInstructions(attempt.call());
    }

    private void handleInstructions(final SentCall call) {
        final List<CallInstruction> instructions = call.instructions();
        while (call.handled < instructions.size()) {
            final CallInstruction instruction = instructions.get(call.handled);
            call.handled++;
            if (instruction instanceof Send send) {
                start(call, send);
            }
        }
    }

    private void start(final SentCall call, final Send send) {
        final Attempt attempt =
                new Attempt(call, send.attempt(), send.upstream().name(), fleet.now());
        if (!running.contains(attempt.upstream())) {
            end(attempt, new CallResult.NotRun(false));
            return;
        }
        attempts.add(attempt);
        if (call.isHarmful()) {
            harmfulSends.add(fleet.now());
        }
    }

    /** Plays a time; the action is called once in each tick. */
    void run(final Duration time, final Runnable action) {
        final Instant end = fleet.now().plus(time);
        while (fleet.now().isBefore(end)) {
            action.run();
            fleet.run(TICK);
            calls.stream().filter(call -> !isClosed(call)).toList().forEach(this::handleInstructions);
            for (final Attempt attempt : List.copyOf(attempts)) {
                advance(attempt);
            }
            List.copyOf(restarts.entrySet()).stream()
                    .filter(entry -> !entry.getValue().isAfter(fleet.now()))
                    .forEach(entry -> restart(entry.getKey()));
        }
    }

    /** Returns whether no more instructions follow; looked up in the board, which is cheaper than in the effects. */
    private static boolean isClosed(final SentCall call) {
        return !call.site.board().serving().calls().calls().containsKey(call.request);
    }

    private void advance(final Attempt attempt) {
        if (!attempts.contains(attempt)) {
            return;
        }
        if (attempt.call().isHarmful() && hasBegun(attempt)) {
            harmfulCrashes.add(fleet.now());
            crash(attempt.upstream());
        } else if (!fleet.now().isBefore(attempt.startedAt().plus(RESPONSE_TIME))) {
            end(attempt, new CallResult.Served());
        }
    }

    private void restart(final RegisteredUpstream upstream) {
        restarts.remove(upstream);
        running.add(upstream.name());
        fleet.write(new StoreChange.UpstreamRegistered(upstream));
    }

    /** Returns whether some instance refuses calls with the part. */
    boolean isQuarantinedSomewhere(final PromptPart part) {
        return fleet.sites().stream().anyMatch(site -> isQuarantinedAt(site, part));
    }

    /** Returns whether all instances refuse calls with the part. */
    boolean isQuarantinedEverywhere(final PromptPart part) {
        return fleet.sites().stream().allMatch(site -> isQuarantinedAt(site, part));
    }

    private static boolean isQuarantinedAt(final SiteFixture site, final PromptPart part) {
        final var suspicion = site.board().serving().prompts().suspicions().get(part);
        return suspicion != null && suspicion.quarantinedAt().isPresent();
    }

    /** Counts the sends of harmful calls after a time, first ones and repeats. */
    long harmfulSendsAfter(final Instant time) {
        return harmfulSends.stream().filter(sent -> sent.isAfter(time)).count();
    }

    List<Instant> harmfulCrashes() {
        return harmfulCrashes;
    }

    /** Lists the calls without a harmful part that arrived from a time on. */
    List<SentCall> soundCallsFrom(final Instant time) {
        return calls.stream()
                .filter(call -> !call.isHarmful() && !call.sentAt().isBefore(time))
                .toList();
    }

    RelayFleet fleet() {
        return fleet;
    }

    Instant now() {
        return fleet.now();
    }
}
