package org.lacewingstep.upstream;

import io.netty.handler.codec.http.HttpResponse;
import ratpack.exec.Promise;

/**
 * A response that is complete according to the HTTP message framing.
 *
 * @param head the status and the headers, not null
 * @param body the body, not null
 */
public record CompleteResponse(HttpResponse head, byte[] body) {
    /**
     * Sends a request and collects its complete response.
     *
     * @param pool the connection pool of the event loop that runs the execution, not null
     * @param request the request, not null
     * @return the response with any status; fails with an {@link ExchangeException} if there is no complete response
     */
    public static Promise<CompleteResponse> fetch(final UpstreamPool pool, final ExchangeRequest request) {
        return Promise.async(receiver -> pool.send(
                request,
                new ResponseCollector(
                        receiver::success, failed -> receiver.error(new ExchangeException(failed)), () -> {})));
    }
}
