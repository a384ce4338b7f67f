package org.lacewingstep.controller;

import java.time.Instant;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.Section;

/**
 * Makes the decisions of one area: reads the whole blackboard and writes only its own section.
 *
 * @param <S> the type of the section that the controller writes
 */
public sealed interface Controller<S extends Section>
        permits AllowanceController,
                CallController,
                CellController,
                ConfigurationController,
                KeptPromptController,
                LifecycleController,
                MembershipController,
                PromptController,
                RegistryController,
                RequestController,
                RelayController,
                RoleController,
                RolloutController,
                RoutingController,
                SiteController,
                SpeedController,
                StoreController,
                TeamBudgetController,
                TokenRequestController,
                UpstreamController,
                UpstreamLoadController,
                UpstreamNoticeController {
    /**
     * Gets the type of the section that only this controller writes.
     *
     * @return the section type, never null
     */
    Class<S> section();

    /**
     * Handles an event.
     *
     * @param board the blackboard, not null
     * @param event the event, not null
     * @param now the present time, not null
     * @return the updated section with the resulting effects and events, never null
     */
    Outcome<S> step(Blackboard board, Event event, Instant now);
}
