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

/**
 * Reads the headers that announce the shutdown of an upstream, the time at which it accepts requests again, or the rate
 * of requests that it takes.
 */
final class NoticeHeaders {
    private static final String SERVER_LEAVING = "Server-Leaving";
    private static final String LEAVING = "1";
    private static final String SERVER_LIMIT = "Server-Limit";
    private static final String RETRY_AFTER = HttpHeaderNames.RETRY_AFTER.toString();
    private static final Logger LOGGER = LoggerFactory.getLogger(NoticeHeaders.class);
    private static final int HTTP_UNAVAILABLE = 503;

    /** Digits with a fraction; a date, a sign and an exponent are not permitted. */
    private static final String DECIMAL = "\\s*\\d{1,18}(\\.\\d{1,18})?\\s*";

    /** Lowest rate in requests per second, so that a request at times shows whether the limit still holds. */
    private static final double MIN_RATE = 0.1;

    /** Longest time that is read, in seconds, so that it can be added to any time of the process. */
    private static final double MAX_SECONDS = 86_400;

    private static final double MILLISECONDS_PER_SECOND = 1000;

    private NoticeHeaders() {}

    /**
     * Decodes the notice in a response. The header that announces leaving counts if one of its values is 1; an empty
     * one, 0 or other text says nothing. A time of return counts with status 503 alone: other statuses refuse one
     * request or one caller, not all requests of this instance. A rate counts with any status.
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
                response.status().code() == HTTP_UNAVAILABLE ? pause(request, upstream, response) : Optional.empty(),
                rate(request, upstream, response));
    }

    private static Optional<Double> rate(
            final RequestIdentifier request, final RegisteredUpstream upstream, final HttpResponse response) {
        return decimal(request, upstream, response, SERVER_LIMIT).map(rate -> Math.max(MIN_RATE, rate));
    }

    private static Optional<Duration> pause(
            final RequestIdentifier request, final RegisteredUpstream upstream, final HttpResponse response) {
        return decimal(request, upstream, response, RETRY_AFTER)
                .map(seconds -> Math.min(MAX_SECONDS, seconds))
                .map(seconds -> Duration.ofMillis((long) Math.ceil(seconds * MILLISECONDS_PER_SECOND)));
    }

    private static Optional<Double> decimal(
            final RequestIdentifier request,
            final RegisteredUpstream upstream,
            final HttpResponse response,
            final String header) {
        final String text = response.headers().get(header);
        if (text == null) {
            return Optional.empty();
        }
        if (!text.matches(DECIMAL)) {
            LOGGER.atInfo()
                    .addKeyValue("step", "decode")
                    .addKeyValue("request", request)
                    .addKeyValue("upstream", upstream.name())
                    .log("ignored a {} header that is not a decimal number", header);
            return Optional.empty();
        }
        return Optional.of(Double.parseDouble(text.strip()));
    }
}
