package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.ConfigurationSection;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.Incarnation;

/** Keeps the configuration with the highest known generation in force and never returns to an earlier one. */
public final class ConfigurationController implements Controller<ConfigurationSection> {
    @Override
    public Class<ConfigurationSection> section() {
        return ConfigurationSection.class;
    }

    @Override
    public Outcome<ConfigurationSection> step(final Blackboard board, final Event event, final Instant now) {
        return switch (event) {
            case Event.Started() -> read(board, now);
            case Event.TimerFired(TimerKey.ConfigurationRead()) -> read(board, now);
            case Event.ConfigurationRead(Optional<Configuration> found, long generation) ->
                adopt(board, found, generation, Optional.of(now));
            case Event.PeerMessageReceived(Incarnation sender, PeerMessage message) ->
                receive(board, sender, message, now);
            default -> Outcome.of(board.configuration());
        };
    }

    private static Outcome<ConfigurationSection> read(final Blackboard board, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.ReadConfiguration(board.configuration().inForce().generation()));
        builder.add(new Effect.StartTimer(
                new TimerKey.ConfigurationRead(),
                now.plus(board.identity().policy().configurationInterval())));
        return builder.outcome(board.configuration());
    }

    private static Outcome<ConfigurationSection> adopt(
            final Blackboard board,
            final Optional<Configuration> found,
            final long generation,
            final Optional<Instant> confirmedAt) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        final ConfigurationSection section = board.configuration();
        Configuration inForce = section.inForce();
        if (found.isPresent() && found.get().generation() > inForce.generation()) {
            inForce = found.get();
            builder.add(new Event.ConfigurationAdopted(inForce.generation()));
        }
        final boolean confirms = generation >= inForce.generation() && inForce.generation() > 0;
        final Optional<Instant> confirmed =
                confirms ? latest(section.confirmedAt(), confirmedAt) : section.confirmedAt();
        return builder.outcome(new ConfigurationSection(inForce, confirmed));
    }

    private static Optional<Instant> latest(final Optional<Instant> one, final Optional<Instant> other) {
        if (one.isEmpty() || other.isEmpty()) {
            return one.or(() -> other);
        }
        return one.get().isAfter(other.get()) ? one : other;
    }

    private static Outcome<ConfigurationSection> receive(
            final Blackboard board, final Incarnation sender, final PeerMessage message, final Instant now) {
        return switch (message) {
            case PeerMessage.Heartbeat heartbeat -> compareGenerations(board, sender, heartbeat, now);
            case PeerMessage.ConfigurationRequest() -> sendCopy(board, sender);
            case PeerMessage.ConfigurationCopy(Configuration configuration) ->
                adopt(board, Optional.of(configuration), configuration.generation(), Optional.empty());
            default -> Outcome.of(board.configuration());
        };
    }

    private static Outcome<ConfigurationSection> compareGenerations(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.Heartbeat heartbeat,
            final Instant now) {
        final long generation = board.configuration().inForce().generation();
        final OutcomeBuilder builder = new OutcomeBuilder();
        if (heartbeat.generation() > generation) {
            board.membership()
                    .member(sender)
                    .ifPresent(member ->
                            builder.add(new Effect.SendToPeer(member, new PeerMessage.ConfigurationRequest())));
            return builder.outcome(board.configuration());
        }
        if (heartbeat.generation() < generation || heartbeat.confirmedAge().isEmpty()) {
            return builder.outcome(board.configuration());
        }
        return confirm(board, heartbeat.confirmedAge().get(), now);
    }

    /**
     * Adopts the confirmation of a peer with the same generation if it is later than this process's own. The age is
     * that at the time of sending and excludes the transit time of the message.
     */
    private static Outcome<ConfigurationSection> confirm(
            final Blackboard board, final Duration age, final Instant now) {
        final ConfigurationSection section = board.configuration();
        final Optional<Instant> confirmed = latest(section.confirmedAt(), Optional.of(now.minus(age)));
        return Outcome.of(new ConfigurationSection(section.inForce(), confirmed));
    }

    private static Outcome<ConfigurationSection> sendCopy(final Blackboard board, final Incarnation sender) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        final Configuration inForce = board.configuration().inForce();
        board.membership()
                .member(sender)
                .ifPresent(member ->
                        builder.add(new Effect.SendToPeer(member, new PeerMessage.ConfigurationCopy(inForce))));
        return builder.outcome(board.configuration());
    }
}
