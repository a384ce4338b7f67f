package org.lacewingstep.traffic;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.traffic.CallProtocol.KvCacheReference;
import org.lacewingstep.upstream.ExchangeRequest;
import org.lacewingstep.upstream.ResponseForm;

/** Creates the requests to upstreams for the attempts of one call. */
final class ExchangeRequests {
    /** Time without data after which an upstream is reported as stalled, so that other upstreams get new calls. */
    private static final Duration STALL_TIMEOUT = Duration.ofMillis(500);

    /**
     * Timeout without data from a prefill upstream; after the timeout, the upstream that sends the response processes
     * the prompt itself.
     */
    private static final Duration PREFILL_TIMEOUT = Duration.ofMillis(800);

    private final CallerRequest callerRequest;
    private final OpenCalls openCalls;

    /**
     * Creates a factory for a call.
     *
     * @param openCalls the registry of open calls, not null
     * @param callerRequest the request that was read from the caller, not null
     */
    ExchangeRequests(final OpenCalls openCalls, final CallerRequest callerRequest) {
        this.openCalls = openCalls;
        this.callerRequest = callerRequest;
    }

    /**
     * Creates the request to process the prompt of a call.
     *
     * @param instruction the attempt, not null
     * @param address the address of the prefill upstream, not null
     * @return the request, never null
     */
    ExchangeRequest prefill(final Send instruction, final PeerAddress address) {
        final HttpHeaders headers = openCalls.protocol().prefillHeaders(callerRequest, instruction, openCalls.now());
        return create(instruction, address, headers, new ResponseForm.ToRouter(), PREFILL_TIMEOUT, PREFILL_TIMEOUT);
    }

    /**
     * Creates the request whose response is passed on to the caller.
     *
     * @param instruction the attempt, not null
     * @param kvCacheReference where the processed prompt is kept, empty if the upstream processes the prompt
     * @param reservation the identifier of the memory that the upstream has reserved, empty if none
     * @param resumeAfter the identifier of the last event that was passed on, empty if none was
     * @return the request, never null
     */
    ExchangeRequest response(
            final Send instruction,
            final Optional<KvCacheReference> kvCacheReference,
            final Optional<String> reservation,
            final Optional<String> resumeAfter) {
        final HttpHeaders headers = openCalls
                .protocol()
                .upstreamHeaders(
                        callerRequest, instruction, kvCacheReference, reservation, resumeAfter, openCalls.now());
        return create(
                instruction,
                instruction.upstream().address(),
                headers,
                instruction.streams() ? new ResponseForm.Streamed() : new ResponseForm.Collected(),
                instruction.responseTimeout(),
                Duration.between(openCalls.now(), instruction.deadline()));
    }

    private ExchangeRequest create(
            final Send instruction,
            final PeerAddress address,
            final HttpHeaders headers,
            final ResponseForm form,
            final Duration retryTimeout,
            final Duration readTimeout) {
        return new ExchangeRequest(
                address,
                callerRequest.method(),
                callerRequest.uri(),
                headers,
                callerRequest.body(),
                response -> openCalls.protocol().belongsToRequest(callerRequest, response),
                form,
                STALL_TIMEOUT,
                retryTimeout,
                readTimeout,
                instruction.connectionLimit());
    }
}
