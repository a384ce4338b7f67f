package org.lacewingstep.traffic;

import java.time.Duration;
import java.util.Optional;

import org.lacewingstep.blackboard.CallInstruction.Reserve;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.traffic.CallProtocol.ResponseKind;
import org.lacewingstep.traffic.CallProtocol.RouterRequest;
import org.lacewingstep.upstream.CompleteResponse;
import org.lacewingstep.upstream.ExchangeEvent;
import org.lacewingstep.upstream.ExchangeRequest;
import org.lacewingstep.upstream.ResponseCollector;
import org.lacewingstep.upstream.ResponseForm;
import org.lacewingstep.upstream.UpstreamExchange;
import org.lacewingstep.upstream.UpstreamPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reserves memory at an engine for one call and releases the reservation unless the call uses it; all calls are made on
 * one event loop.
 */
final class EngineReservation {
    /**
     * Timeout without data from the engine: many times the latency between failure domains, as the engine responds
     * without delay.
     */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(400);

    private static final int HTTP_OK = 200;
    private static final Logger LOGGER = LoggerFactory.getLogger(EngineReservation.class);

    private static final int HTTP_UNAVAILABLE = 503;

    private final OpenCalls openCalls;
    private final UpstreamPool pool;
    private final RequestIdentifier request;

    private UpstreamExchange pendingExchange;
    private Optional<String> reservationIdentifier = Optional.empty();
    private Reserve currentInstruction;

    /**
     * Creates the reservation state of a call that has no reserved memory yet.
     *
     * @param openCalls the registry of open calls, not null
     * @param pool the upstream connections of the call's event loop, not null
     * @param request the request's identifier, not null
     */
    EngineReservation(final OpenCalls openCalls, final UpstreamPool pool, final RequestIdentifier request) {
        this.openCalls = openCalls;
        this.pool = pool;
        this.request = request;
    }

    /**
     * Releases any earlier reservation, requests memory from an engine and posts the result to the control thread.
     *
     * @param instruction the engine, the amount of memory and its lifetime, not null
     */
    void reserve(final Reserve instruction) {
        release();
        currentInstruction = instruction;
        if (!openCalls.acceptsRequests(instruction.upstream())) {
            postResult(instruction, new CallResult.NotRun(true));
            return;
        }
        pendingExchange = pool.send(
                exchangeRequest(instruction, openCalls.protocol().encodeReservation(instruction)),
                new ResponseCollector(
                        response -> handleResponse(instruction, response),
                        failed -> handleFailure(instruction, failed),
                        () -> {}));
    }

    /** Cancels a pending reservation request and releases an unused reservation. */
    void release() {
        if (pendingExchange != null) {
            pendingExchange.cancel();
            pendingExchange = null;
        }
        reservationIdentifier.ifPresent(reservation -> pool.send(
                exchangeRequest(
                        currentInstruction, openCalls.protocol().encodeRelease(currentInstruction, reservation)),
                new ResponseCollector(this::handleReleaseResponse, this::logReleaseFailure, () -> {})));
        reservationIdentifier = Optional.empty();
    }

    /**
     * Hands the reservation over to the request that is about to be sent; {@link #release()} does not release a
     * reservation that was handed over.
     *
     * @return the reservation's identifier at the engine, empty if no memory is reserved
     */
    Optional<String> handOver() {
        final Optional<String> used = reservationIdentifier;
        reservationIdentifier = Optional.empty();
        return used;
    }

    private void handleResponse(final Reserve instruction, final CompleteResponse response) {
        pendingExchange = null;
        openCalls.postNotice(request, instruction.upstream(), response.head());
        final int status = response.head().status().code();
        if (status == HTTP_OK) {
            reservationIdentifier = openCalls.protocol().decodeReservation(response.body());
            postResult(
                    instruction,
                    reservationIdentifier.isPresent() ? new CallResult.Served() : new CallResult.Broken(false, false));
        } else if (openCalls.protocol().classify(response.head()) instanceof ResponseKind.NotRun
                || status == HTTP_UNAVAILABLE) {
            postResult(instruction, new CallResult.NotRun(true));
        } else {
            postResult(instruction, new CallResult.FailedByUpstream(status));
        }
    }

    private void handleFailure(final Reserve instruction, final ExchangeEvent.Failed failed) {
        pendingExchange = null;
        postResult(
                instruction,
                failed.sent() ? new CallResult.Broken(failed.timedOut(), false) : new CallResult.NotRun(false));
    }

    private void postResult(final Reserve instruction, final CallResult result) {
        openCalls.post(
                new Event.ReservationCompleted(request, instruction.upstream().name(), result));
    }

    private void handleReleaseResponse(final CompleteResponse response) {
        if (response.head().status().code() != HTTP_OK) {
            logReleaseFailure("status " + response.head().status().code());
        }
    }

    private void logReleaseFailure(final ExchangeEvent.Failed failed) {
        logReleaseFailure(failed.reason());
    }

    private void logReleaseFailure(final String reason) {
        LOGGER.atInfo()
                .addKeyValue("step", "reservation")
                .addKeyValue("request", request)
                .addKeyValue("upstream", currentInstruction.upstream().name())
                .log("reserved memory was not released and will expire: {}", reason);
    }

    private ExchangeRequest exchangeRequest(final Reserve instruction, final RouterRequest routerRequest) {
        return new ExchangeRequest(
                instruction.upstream().address(),
                routerRequest.method(),
                routerRequest.uri(),
                routerRequest.headers(),
                routerRequest.body(),
                openCalls.protocol()::belongsToRouterRequest,
                new ResponseForm.ToRouter(),
                RESPONSE_TIMEOUT,
                RESPONSE_TIMEOUT,
                instruction.connectionLimit());
    }
}
