package org.lacewingstep.controller;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.Section;
import org.lacewingstep.blackboard.Step;

/** Lets every controller decide on an event and on the events that follow from it. */
public final class BlackboardStepper {
    /** The controllers in the order in which they decide. */
    public static final List<Controller<? extends Section>> CONTROLLERS = List.of(
            new LifecycleController(),
            new ConfigurationController(),
            new MembershipController(),
            new UpstreamController(),
            new TeamBudgetController(),
            new CellController(),
            new TokenRequestController(),
            new RequestController(),
            new SiteController(),
            new RoutingController(),
            new RegistryController(),
            new UpstreamLoadController(),
            new AllowanceController(),
            new CallController());

    private BlackboardStepper() {}

    /**
     * Takes one step.
     *
     * @param board the blackboard, not null
     * @param event what happened, not null
     * @param now the present time, not null
     * @return the blackboard afterwards and the effects, never null
     */
    public static Step step(final Blackboard board, final Event event, final Instant now) {
        final Deque<Event> open = new ArrayDeque<>();
        final List<Effect> effects = new ArrayList<>();
        open.add(event);
        Blackboard current = board;
        while (!open.isEmpty()) {
            final Event next = open.poll();
            for (final Controller<? extends Section> controller : CONTROLLERS) {
                final Outcome<? extends Section> outcome = controller.step(current, next, now);
                current = current.with(outcome.section());
                open.addAll(outcome.events());
                route(current, outcome.effects(), effects, open);
            }
        }
        return new Step(current, effects);
    }

    private static void route(
            final Blackboard board, final List<Effect> produced, final List<Effect> effects, final Deque<Event> open) {
        for (final Effect effect : produced) {
            if (effect instanceof Effect.SendToPeer send
                    && send.receiver().incarnation().equals(board.identity().incarnation())) {
                open.add(new Event.PeerMessageReceived(board.identity().incarnation(), send.message()));
            } else {
                effects.add(effect);
            }
        }
    }
}
