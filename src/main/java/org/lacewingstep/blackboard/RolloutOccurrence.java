package org.lacewingstep.blackboard;

import java.util.Optional;

import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.error.Validate;

/** An occurrence that concerns the rollouts of versions only. */
public sealed interface RolloutOccurrence {
    /**
     * The store responded to the write of a plan, or the response was lost.
     *
     * @param plan the plan, not null
     * @param revision the store's revision of the plan, empty if the plan was refused or may not have been written
     */
    record PlanWriteEnded(RolloutPlan plan, Optional<StoreRevision> revision) implements RolloutOccurrence {
        /** Validates the components. */
        public PlanWriteEnded {
            Validate.notNull(plan, "plan");
            Validate.notNull(revision, "revision");
        }
    }

    /**
     * An attempt of a call is being sent to an upstream, for the first time or as a retry.
     *
     * @param request the identifier of the call, not null
     * @param attempt the number of the attempt, from one
     * @param upstream the upstream that generates the response, not null
     * @param route the name of the route, not null
     */
    record AttemptSent(RequestIdentifier request, int attempt, RegisteredUpstream upstream, String route)
            implements RolloutOccurrence {
        /** Validates the components. */
        public AttemptSent {
            Validate.notNull(request, "request");
            Validate.notNull(upstream, "upstream");
            Validate.notNull(route, "route");
        }
    }
}
