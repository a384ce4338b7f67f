package org.lacewingstep.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request as it was read from a caller.
 *
 * @param method the HTTP method, not null
 * @param uri path and query as sent, not null
 * @param headers the headers, not null
 * @param body the body, empty for none, not null
 */
public record CallerRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
    /**
     * Gets the path.
     *
     * @return the part of the URI before the query, never null
     */
    public String path() {
        final int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
