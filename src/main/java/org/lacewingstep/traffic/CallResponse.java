package org.lacewingstep.traffic;

import io.netty.handler.codec.http.HttpHeaders;

/** A response to a caller. */
sealed interface CallResponse {
    /**
     * A response whose body is complete.
     *
     * @param status the HTTP status
     * @param headers the headers, without those that frame the body, not null
     * @param body the complete body, empty for none, not null
     */
    record Complete(int status, HttpHeaders headers, byte[] body) implements CallResponse {}

    /**
     * A response whose body is streamed after the headers.
     *
     * @param status the HTTP status
     * @param headers the headers, without those that frame the body, not null
     * @param body the stream of the body's bytes, not null
     */
    record Streamed(int status, HttpHeaders headers, ResponseStream body) implements CallResponse {}
}
