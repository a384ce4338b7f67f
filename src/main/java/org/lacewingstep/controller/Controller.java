package org.lacewingstep.controller;

import java.time.Instant;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.Section;

/**
 * Decides one duty: reads the whole blackboard and writes its own section.
 *
 * @param <S> the section that it writes
 */
public sealed interface Controller<S extends Section>
        permits AllowanceController,
                CallController,
                CellController,
                ConfigurationController,
                LifecycleController,
                MembershipController,
                RegistryController,
                RequestController,
                RoutingController,
                SiteController,
                TeamBudgetController,
                TokenRequestController,
                UpstreamController,
                UpstreamLoadController {
    /**
     * Gets the section that this controller alone writes.
     *
     * @return the type of the section, never null
     */
    Class<S> section();

    /**
     * Decides on an event.
     *
     * @param board the blackboard, not null
     * @param event what happened, not null
     * @param now the present time, not null
     * @return the section afterwards and what follows, never null
     */
    Outcome<S> step(Blackboard board, Event event, Instant now);
}
