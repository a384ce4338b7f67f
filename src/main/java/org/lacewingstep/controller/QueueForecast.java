package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.domain.Urgency;
import org.lacewingstep.placement.PlaceForecast;
import org.lacewingstep.placement.ReturnDelay;

/** Decides whether a call that found no upstream is refused at once, because none will be free in time. */
final class QueueForecast {
    private QueueForecast() {}

    /**
     * Computes the delay with which a call is refused that will find no place while it may wait.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param until until when the call may wait, not null
     * @param now the present time, not null
     * @return the delay, empty if the call should wait
     */
    static Optional<Duration> refusalDelay(
            final Blackboard board, final Call call, final Instant until, final Instant now) {
        if (!DemandReports.isCounted(board, call.service())) {
            return Optional.empty();
        }
        final boolean arriving =
                !board.serving().calls().calls().containsKey(call.parameters().request());
        final Urgency urgency =
                call.urgency().after(CallTiming.waited(call, now), call.route().latencyTarget());
        return PlaceForecast.timeToPlace(
                        DemandReports.site(board, call.service(), now), urgency, arriving, call.tokens())
                .filter(forecast -> now.plus(forecast).isAfter(until))
                .map(forecast ->
                        ReturnDelay.of(call.parameters().request(), forecast, Duration.between(now, call.deadline())));
    }
}
