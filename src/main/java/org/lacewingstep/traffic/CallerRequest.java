package org.lacewingstep.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete HTTP request that was read from a caller.
 *
 * @param method the HTTP method, not null
 * @param uri the path and query as received, without decoding, not null
 * @param headers the headers, not null
 * @param body the body, empty for none, not null
 */
public record CallerRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
    /**
     * Returns the path without the query.
     *
     * @return the part of the URI before the query, never null
     */
    public String path() {
        final int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
