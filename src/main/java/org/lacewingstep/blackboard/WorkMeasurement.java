package org.lacewingstep.blackboard;

import java.time.Duration;

import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.domain.WorkKind;
import org.lacewingstep.error.Validate;

/**
 * The duration of work that an upstream has finished.
 *
 * @param request the identifier of the call, not null
 * @param start the start of the upstream, not null
 * @param kind the kind of work, not null
 * @param units the number of units where the receiver of the response counts them, else one
 * @param duration the duration of the work, not null
 */
public record WorkMeasurement(
        RequestIdentifier request, UpstreamStart start, WorkKind kind, int units, Duration duration) {
    /** Checks that the mandatory parts are present. */
    public WorkMeasurement {
        Validate.notNull(request, "request");
        Validate.notNull(start, "start");
        Validate.notNull(kind, "kind");
        Validate.notNull(duration, "duration");
    }
}
