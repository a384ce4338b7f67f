package org.lacewingstep.platform;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import org.lacewingstep.blackboard.UpstreamNotice;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamStart;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the headers that announce the shutdown of an upstream or the time at which it accepts requests again. */
final class NoticeHeaders {
    private static final String SERVER_LEAVING = "Server-Leaving";
    private static final String LEAVING = "1";
    private static final Logger LOGGER = LoggerFactory.getLogger(NoticeHeaders.class);
    private static final int HTTP_UNAVAILABLE = 503;

    /** Digits with a fraction; a date, a sign and an exponent are not permitted. */
    private static final String SECONDS = "\\s*\\d{1,18}(\\.\\d{1,18})?\\s*";

    /** Longest time that is read, in seconds, so that it can be added to any time of the process. */
    private static final double MAX_SECONDS = 86_400;

    private static final double MILLISECONDS_PER_SECOND = 1000;

    private NoticeHeaders() {}

    /**
     * Decodes the notice in a response. The header that announces leaving counts if one of its values is 1; an empty
     * one, 0 or other text says nothing. A time of return counts with status 503 alone: other statuses refuse one
     * request or one caller, not all requests of this instance.
     *
     * @param request the request that the response belongs to, not null
     * @param upstream the upstream that sent the response, not null
     * @param response the status line and headers of the response, not null
     * @return the notice, never null
     */
    static UpstreamNotice decode(
            final RequestIdentifier request, final RegisteredUpstream upstream, final HttpResponse response) {
        final boolean leaving = response.headers().getAll(SERVER_LEAVING).stream()
                .anyMatch(value -> value.strip().equals(LEAVING));
        return new UpstreamNotice(
                new UpstreamStart(upstream.name(), upstream.startedAtMillis()),
                request,
                leaving,
                response.status().code() == HTTP_UNAVAILABLE ? pause(request, upstream, response) : Optional.empty());
    }

    private static Optional<Duration> pause(
            final RequestIdentifier request, final RegisteredUpstream upstream, final HttpResponse response) {
        final String text = response.headers().get(HttpHeaderNames.RETRY_AFTER);
        if (text == null) {
            return Optional.empty();
        }
        if (!text.matches(SECONDS)) {
            LOGGER.atInfo()
                    .addKeyValue("step", "decode")
                    .addKeyValue("request", request)
                    .addKeyValue("upstream", upstream.name())
                    .log("ignored a Retry-After header that is not a number of seconds");
            return Optional.empty();
        }
        final double seconds = Math.min(MAX_SECONDS, Double.parseDouble(text.strip()));
        return Optional.of(Duration.ofMillis((long) Math.ceil(seconds * MILLISECONDS_PER_SECOND)));
    }
}
