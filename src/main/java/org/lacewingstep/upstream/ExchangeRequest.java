package org.lacewingstep.upstream;

import java.time.Duration;
import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.lacewingstep.domain.PeerAddress;

/**
 * A request to an upstream.
 *
 * @param address where the upstream is reached, not null
 * @param method the HTTP method, not null
 * @param uri path and query, not null
 * @param headers the headers without framing, not null
 * @param body the body, empty for none, not null
 * @param belongs tells whether an answer is the one to this request, not null
 * @param quietLimit silence after which the upstream is reported as quiet, not null
 * @param silenceLimit silence after which the request is given up, not null
 * @param connectionLimit most connections to the address
 */
public record ExchangeRequest(
        PeerAddress address,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        Predicate<HttpResponse> belongs,
        Duration quietLimit,
        Duration silenceLimit,
        int connectionLimit) {}
