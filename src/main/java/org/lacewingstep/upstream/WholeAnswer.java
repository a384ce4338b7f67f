package org.lacewingstep.upstream;

import io.netty.handler.codec.http.HttpResponse;
import ratpack.exec.Promise;

/**
 * An answer that is complete by its own framing.
 *
 * @param head the status and the headers, not null
 * @param body the body, not null
 */
public record WholeAnswer(HttpResponse head, byte[] body) {
    /**
     * Sends a request and waits for its whole answer.
     *
     * @param pool the connections of the event loop of the execution, not null
     * @param request the request, not null
     * @return the answer, whatever its status; fails with an {@link ExchangeFailure} if it breaks off
     */
    public static Promise<WholeAnswer> of(final UpstreamPool pool, final ExchangeRequest request) {
        return Promise.async(receiver -> pool.send(
                request,
                new AnswerCollector(
                        receiver::success, failed -> receiver.error(new ExchangeFailure(failed)), () -> {})));
    }
}
