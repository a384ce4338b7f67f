package org.lacewingstep.controller;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.LifecycleSection;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.Section;
import org.lacewingstep.blackboard.ServingSection;
import org.lacewingstep.blackboard.Step;

/** Passes an event, and every event that results, to all controllers. */
public final class BlackboardStepper {
    /** The controllers in the order in which they handle an event. */
    public static final List<Controller<? extends Section>> CONTROLLERS = List.of(
            new LifecycleController(),
            new ConfigurationController(),
            new MembershipController(),
            new UpstreamController(),
            new TeamBudgetController(),
            new CellController(),
            new TokenRequestController(),
            new RequestController(),
            new StoreController(),
            new SiteController(),
            new RoutingController(),
            new RegistryController(),
            new RelayController(),
            new UpstreamLoadController(),
            new UpstreamNoticeController(),
            new SpeedController(),
            new KeptPromptController(),
            new AllowanceController(),
            new RoleController(),
            new PromptController(),
            new RolloutController(),
            new CallController());

    /** The controllers of an instance on a platform, to whose other controllers no event means anything. */
    static final List<Controller<? extends Section>> SITE_CONTROLLERS = CONTROLLERS.stream()
            .filter(controller -> ServingSection.class.isAssignableFrom(controller.section())
                    || controller.section() == LifecycleSection.class)
            .toList();

    private BlackboardStepper() {}

    /**
     * Handles an event and every event that results, until no event is pending.
     *
     * @param board the blackboard, not null
     * @param event the event, not null
     * @param now the present time, not null
     * @return the updated blackboard and the effects, never null
     */
    public static Step step(final Blackboard board, final Event event, final Instant now) {
        final Deque<Event> pending = new ArrayDeque<>();
        final List<Effect> effects = new ArrayList<>();
        pending.add(event);
        Blackboard current = board;
        final List<Controller<? extends Section>> controllers = event instanceof Event.SiteConfigured
                        || board.serving().site().policy().isPresent()
                ? SITE_CONTROLLERS
                : CONTROLLERS;
        while (!pending.isEmpty()) {
            final Event next = StoreEras.withoutOutdated(current, pending.poll());
            for (final Controller<? extends Section> controller : controllers) {
                final Outcome<? extends Section> outcome = controller.step(current, next, now);
                current = current.with(outcome.section());
                pending.addAll(outcome.events());
                routeEffects(current, outcome.effects(), effects, pending);
            }
        }
        return new Step(current, effects);
    }

    private static void routeEffects(
            final Blackboard board,
            final List<Effect> produced,
            final List<Effect> effects,
            final Deque<Event> pending) {
        for (final Effect effect : produced) {
            if (effect instanceof Effect.SendToPeer send
                    && send.receiver().incarnation().equals(board.identity().incarnation())) {
                pending.add(new Event.PeerMessageReceived(board.identity().incarnation(), send.message()));
            } else {
                effects.add(effect);
            }
        }
    }
}
