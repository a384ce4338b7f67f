package org.lacewingstep.traffic;

import io.netty.handler.codec.http.HttpHeaders;

/** An answer to a caller. */
sealed interface CallAnswer {
    /**
     * An answer that is complete.
     *
     * @param status the HTTP status
     * @param headers the headers without framing, not null
     * @param body the body, not null
     */
    record Whole(int status, HttpHeaders headers, byte[] body) implements CallAnswer {}

    /**
     * An answer whose body follows.
     *
     * @param status the HTTP status
     * @param headers the headers without framing, not null
     * @param body the body, not null
     */
    record Streamed(int status, HttpHeaders headers, AnswerStream body) implements CallAnswer {}
}
