package org.lacewingstep.soak;

import java.io.ByteArrayOutputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

/** Collects a response as it arrives, so that the part of an incomplete one can be checked too. */
final class ReceivedResponse implements HttpResponse.BodyHandler<Void> {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    private volatile String seal = "";
    private volatile int statusCode;

    @Override
    public HttpResponse.BodySubscriber<Void> apply(final HttpResponse.ResponseInfo head) {
        bytes.reset();
        seal = head.headers().firstValue("Response-Seal").orElse("");
        statusCode = head.statusCode();
        return HttpResponse.BodySubscribers.ofByteArrayConsumer(part -> part.ifPresent(bytes::writeBytes));
    }

    String body() {
        return bytes.toString(StandardCharsets.US_ASCII);
    }

    String seal() {
        return seal;
    }

    /** Returns the status code, 0 before the head of the response has arrived. */
    int statusCode() {
        return statusCode;
    }
}
