package org.lacewingstep.upstream;

import java.time.Duration;
import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.lacewingstep.domain.PeerAddress;

/**
 * An HTTP request to an upstream, with its timeouts.
 *
 * @param address the upstream's address, not null
 * @param method the HTTP method, not null
 * @param uri the path and the query, not null
 * @param headers the headers except Content-Length and Transfer-Encoding, not null
 * @param body the body, empty for none, not null
 * @param responseFilter accepts the responses that belong to this request; other responses are skipped, not null
 * @param form what the response is used for, not null
 * @param stallTimeout the time without progress after which {@link ExchangeEvent.Stalled} is reported, not null
 * @param retryTimeout the time without progress after which {@link ExchangeEvent.Stalled} is reported again, so that
 *     the request can be sent elsewhere, not null
 * @param readTimeout the time without progress after which the exchange fails, not null
 * @param connectionLimit the maximum number of open connections from one event loop to the address
 */
public record ExchangeRequest(
        PeerAddress address,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        Predicate<HttpResponse> responseFilter,
        ResponseForm form,
        Duration stallTimeout,
        Duration retryTimeout,
        Duration readTimeout,
        int connectionLimit) {
    /**
     * Creates a request that is not retried while it runs.
     *
     * @param address the upstream's address, not null
     * @param method the HTTP method, not null
     * @param uri the path and the query, not null
     * @param headers the headers except Content-Length and Transfer-Encoding, not null
     * @param body the body, empty for none, not null
     * @param responseFilter accepts the responses that belong to this request; other responses are skipped, not null
     * @param form what the response is used for, not null
     * @param stallTimeout the time without progress after which {@link ExchangeEvent.Stalled} is reported, not null
     * @param readTimeout the time without progress after which the exchange fails, not null
     * @param connectionLimit the maximum number of open connections from one event loop to the address
     */
    public ExchangeRequest(
            final PeerAddress address,
            final HttpMethod method,
            final String uri,
            final HttpHeaders headers,
            final byte[] body,
            final Predicate<HttpResponse> responseFilter,
            final ResponseForm form,
            final Duration stallTimeout,
            final Duration readTimeout,
            final int connectionLimit) {
        this(
                address,
                method,
                uri,
                headers,
                body,
                responseFilter,
                form,
                stallTimeout,
                readTimeout,
                readTimeout,
                connectionLimit);
    }
}
