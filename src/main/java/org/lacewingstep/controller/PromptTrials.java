package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallParameters;
import org.lacewingstep.blackboard.PromptSection;
import org.lacewingstep.blackboard.PromptSection.Crash;
import org.lacewingstep.blackboard.PromptSection.Suspicion;
import org.lacewingstep.blackboard.PromptSection.Trial;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.PromptPart;
import org.pcollections.PMap;

/**
 * Decides which requests with a part on trial are sent.
 *
 * <p>Crashes may have another cause than the part that they have in common. The instances therefore take turns to send
 * one request with the part: a response shows that the part is sound, further crashes show that it is harmful.
 */
final class PromptTrials {
    /** Time in which one instance may send requests with a part on trial. */
    private static final Duration TURN = Duration.ofSeconds(2);

    /** Time after which crashes are those of trial requests, since requests sent before the trial have ended. */
    private static final Duration START_DELAY = Duration.ofMillis(1500);

    /** Start delay of a site with relays, on whose way a report of a crash takes up to one second. */
    private static final Duration RELAYED_START_DELAY = Duration.ofMillis(2500);

    private PromptTrials() {}

    /**
     * Lets an arriving call pass as the trial request of its parts on trial if it is this instance's turn.
     *
     * @param board the blackboard, not null
     * @param section the section to update, not null
     * @param parameters the parameters of the call, not null
     * @param now the present time, not null
     * @return the updated section, never null
     */
    static PromptSection assign(
            final Blackboard board, final PromptSection section, final CallParameters parameters, final Instant now) {
        PMap<PromptPart, Suspicion> next = section.suspicions();
        for (final PromptPart part : parameters.promptParts()) {
            final Suspicion known = next.get(part);
            if (known == null || known.trial().isEmpty()) {
                continue;
            }
            if (isRunning(board, known.trial().get())
                    || !isOwnTurn(board, known.trial().get(), now)) {
                return section;
            }
            final Trial trial = new Trial(known.trial().get().since(), Optional.of(parameters.request()));
            next = next.plus(
                    part, new Suspicion(known.position(), known.crashes(), known.quarantinedAt(), Optional.of(trial)));
        }
        return section.withSuspicions(next);
    }

    private static boolean isRunning(final Blackboard board, final Trial trial) {
        return trial.request()
                .filter(board.serving().calls().calls()::containsKey)
                .isPresent();
    }

    private static boolean isOwnTurn(final Blackboard board, final Trial trial, final Instant now) {
        final Duration elapsed = Duration.between(trial.since().plus(startDelay(board)), now);
        final List<InstanceName> instances =
                board.serving().site().present().keySet().stream().sorted().toList();
        if (elapsed.isNegative() || instances.isEmpty()) {
            return false;
        }
        final int turn = (int) (elapsed.dividedBy(TURN) % instances.size());
        return instances.get(turn).equals(board.identity().member().name());
    }

    /**
     * Counts the crashes of trial requests.
     *
     * @param board the blackboard, not null
     * @param suspicion the crashes on requests with the part, not null
     * @return the number of crashes, zero if the part is not on trial
     */
    static long countCrashes(final Blackboard board, final Suspicion suspicion) {
        return suspicion.trial().stream()
                .flatMap(trial -> suspicion.crashes().stream()
                        .map(Crash::at)
                        .filter(at -> !at.isBefore(trial.since().plus(startDelay(board)))))
                .count();
    }

    private static Duration startDelay(final Blackboard board) {
        return board.serving().site().isRelayed() ? RELAYED_START_DELAY : START_DELAY;
    }
}
