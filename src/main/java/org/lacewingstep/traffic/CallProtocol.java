package org.lacewingstep.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.lacewingstep.blackboard.CallInstruction.Reserve;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallParameters;
import org.lacewingstep.blackboard.UpstreamNotice;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;

/** Translates between the HTTP messages of callers and upstreams and the types that the control thread uses. */
public interface CallProtocol {
    /** Classifies the response of an upstream. */
    sealed interface ResponseKind {
        /** A response of the upstream itself, which is forwarded unchanged. */
        record Genuine() implements ResponseKind {}

        /** A response which states that the request was not run. */
        record NotRun() implements ResponseKind {}

        /**
         * A response that cannot come from the upstream itself, and is not forwarded.
         *
         * @param reason why the response is rejected, for the log, not null
         */
        record Unusable(String reason) implements ResponseKind {}
    }

    /**
     * A reference to the processed prompt that a prefill upstream holds for the upstream that sends the response.
     *
     * @param holder the address of the prefill upstream, not null
     * @param handle identifies the processed prompt at {@code holder}, not null
     */
    record KvCacheReference(PeerAddress holder, String handle) {}

    /**
     * A request that the router itself sends to an upstream.
     *
     * @param method the HTTP method, not null
     * @param uri the path and query, not null
     * @param headers the headers, without those that frame the body, not null
     * @param body the body, empty for none, not null
     */
    record RouterRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {}

    /**
     * Encodes the request to an upstream for a reservation of memory.
     *
     * @param instruction the amount of memory and its lifetime, not null
     * @return the request to the upstream, never null
     */
    RouterRequest encodeReservation(Reserve instruction);

    /**
     * Decodes the response to a reservation request.
     *
     * @param body the response's body, not null
     * @return the reservation's identifier at the upstream, empty if the body has none
     */
    Optional<String> decodeReservation(byte[] body);

    /**
     * Encodes the request that releases reserved memory.
     *
     * @param instruction the instruction by which the memory was reserved, not null
     * @param reservation the reservation's identifier at the upstream, not null
     * @return the request to the upstream, never null
     */
    RouterRequest encodeRelease(Reserve instruction, String reservation);

    /**
     * Decodes the parameters of a caller's request.
     *
     * @param request the identifier that this instance gave to the call, not null
     * @param callerRequest the request that was read from the caller, not null
     * @param now the current time, not null
     * @return the request parameters, never null
     */
    CallParameters decodeRequest(RequestIdentifier request, CallerRequest callerRequest, Instant now);

    /**
     * Returns the identifier that the caller gave to its request.
     *
     * @param callerRequest the request that was read from the caller, not null
     * @return the identifier, empty if the request has none
     */
    Optional<String> callerIdentifier(CallerRequest callerRequest);

    /**
     * Returns the last event that a caller received before it reconnected to resume a stream.
     *
     * @param callerRequest the request that was read from the caller, not null
     * @return the event's identifier, empty if the request does not resume a stream
     */
    Optional<String> lastReceivedEvent(CallerRequest callerRequest);

    /**
     * Encodes the headers of the request to the upstream whose response the caller gets.
     *
     * @param callerRequest the request that was read from the caller, not null
     * @param instruction the upstream and the limits of the attempt, not null
     * @param kvCacheReference the prompt processed by a prefill upstream, empty if the upstream that sends the response
     *     processes the prompt
     * @param reservation the identifier of the memory reserved at the upstream, empty for none
     * @param resumeAfter the identifier of the last event that the caller has received, empty to start anew
     * @param now the current time, not null
     * @return the headers, without those that frame the body, never null
     */
    HttpHeaders upstreamHeaders(
            CallerRequest callerRequest,
            Send instruction,
            Optional<KvCacheReference> kvCacheReference,
            Optional<String> reservation,
            Optional<String> resumeAfter,
            Instant now);

    /**
     * Encodes the headers of the request to a prefill upstream, which only processes the prompt.
     *
     * @param callerRequest the request that was read from the caller, not null
     * @param instruction the upstream and the limits of the attempt, not null
     * @param now the current time, not null
     * @return the headers, without those that frame the body, never null
     */
    HttpHeaders prefillHeaders(CallerRequest callerRequest, Send instruction, Instant now);

    /**
     * Decodes the response of a prefill upstream.
     *
     * @param holder the address of the prefill upstream, not null
     * @param body the response's body, not null
     * @return the reference to the processed prompt, empty if the body has none
     */
    Optional<KvCacheReference> decodePrefillResponse(PeerAddress holder, byte[] body);

    /**
     * Checks whether an upstream's response belongs to a caller's request.
     *
     * @param callerRequest the request that was read from the caller, not null
     * @param response the status line and headers of the response, not null
     * @return false if the response names another request, or names none although the request has an identifier
     */
    boolean belongsToRequest(CallerRequest callerRequest, HttpResponse response);

    /**
     * Checks whether an upstream's response can belong to a request that the router itself sent.
     *
     * @param response the status line and headers of the response, not null
     * @return true if the response names no caller's request
     */
    boolean belongsToRouterRequest(HttpResponse response);

    /**
     * Classifies an upstream's response.
     *
     * @param response the status line and headers of the response, not null
     * @return the class of the response, never null
     */
    ResponseKind classify(HttpResponse response);

    /**
     * Decodes what an upstream announces about itself in a response.
     *
     * @param request the request that the response belongs to, not null
     * @param upstream the upstream that sent the response, not null
     * @param response the status line and headers of the response, not null
     * @return the notice, never null
     */
    UpstreamNotice decodeNotice(RequestIdentifier request, RegisteredUpstream upstream, HttpResponse response);

    /**
     * Encodes the headers under which an upstream's response is forwarded to the caller.
     *
     * @param response the status line and headers of the upstream's response, not null
     * @return the headers, without those that frame the body, never null
     */
    HttpHeaders forwardedHeaders(HttpResponse response);

    /**
     * Encodes the headers of a response that the router itself creates.
     *
     * @param callerRequest the request that was read from the caller, not null
     * @param retryAfter the delay after which the caller may retry, zero for no retry advice
     * @return the headers, without those that frame the body, never null
     */
    HttpHeaders routerHeaders(CallerRequest callerRequest, Duration retryAfter);
}
