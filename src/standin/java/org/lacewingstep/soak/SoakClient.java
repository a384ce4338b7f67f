package org.lacewingstep.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Random;

import org.lacewingstep.soak.SoakLedger.Outcome;

/** Sends requests to the instances one at a time over persistent connections and checks each response. */
final class SoakClient implements Runnable {
    /** Response statuses which guarantee that no upstream executed the request. */
    private static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);

    private static final List<String> ROUTES = List.of("once", "again", "stream");
    private static final Duration WAIT_LIMIT = Duration.ofSeconds(4);
    private static final int HTTP_OK = 200;
    private static final int UNAUTHORIZED = 401;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final SoakLedger ledger;
    private final int clientNumber;
    private final Random random;
    private final SoakSite site;

    private volatile boolean stopped;

    SoakClient(final int clientNumber, final long seed, final SoakSite site, final SoakLedger ledger) {
        this.clientNumber = clientNumber;
        this.random = new Random(seed * 31 + clientNumber);
        this.site = site;
        this.ledger = ledger;
    }

    /** Extracts the caller's key from a request identifier, which starts with the key and an underscore. */
    static String keyOf(final String requestId) {
        return requestId.substring(0, requestId.indexOf('_'));
    }

    /** Returns the team that a key belongs to; the first letter of the key encodes the team. */
    static String teamOf(final String key) {
        return key.startsWith("w") ? "weavers" : "dyers";
    }

    /** Stops the client after its current request. */
    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        for (int count = 0; !stopped; count++) {
            final String key = site.randomKey(random);
            final String route = ROUTES.get(random.nextInt(ROUTES.size()));
            sendRequest(key + "_" + clientNumber + "_" + count, key, route);
        }
        client.close();
    }

    private void sendRequest(final String requestId, final String key, final String route) {
        final HttpRequest.Builder builder = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + site.callerPort(random) + "/" + route + "/x"))
                .timeout(WAIT_LIMIT.plusSeconds(2))
                .header("Request-Id", requestId)
                .header("Api-Key", key)
                .header("Tenant", "somebody else")
                .header("Deadline-Ms", Long.toString(WAIT_LIMIT.toMillis()));
        if (route.equals("stream")) {
            builder.header("Token-Count", "100,50");
        }
        final HttpRequest request = route.equals("again")
                ? builder.GET().build()
                : builder.POST(HttpRequest.BodyPublishers.ofString("work")).build();
        final long sentAt = SoakClock.now();
        ledger.recordSent(requestId, sentAt);
        try {
            recordResponse(requestId, route, key, sentAt, client.send(request, HttpResponse.BodyHandlers.ofString()));
        } catch (final IOException connectionFailure) {
            ledger.recordOutcome(requestId, Outcome.CUT);
        } catch (final InterruptedException interruption) {
            stopped = true;
        }
    }

    private void recordResponse(
            final String requestId,
            final String route,
            final String key,
            final long sentAt,
            final HttpResponse<String> response) {
        if (response.statusCode() == HTTP_OK) {
            checkCompleteResponse(requestId, route, response);
            ledger.recordOutcome(requestId, Outcome.SERVED);
        } else if (NOT_RUN_STATUSES.contains(response.statusCode())) {
            ledger.recordOutcome(requestId, Outcome.REFUSED);
        } else {
            ledger.recordOutcome(requestId, Outcome.FAILED);
            if (response.statusCode() == UNAUTHORIZED && site.isKeyValidSince(key, sentAt)) {
                ledger.recordViolation(requestId + " was denied although its key is valid");
            }
        }
    }

    private void checkCompleteResponse(
            final String requestId, final String route, final HttpResponse<String> response) {
        if (!response.headers().firstValue("Response-Seal").orElse("").equals("seal-" + requestId)) {
            ledger.recordViolation(requestId + " received the response of another request");
        }
        if (!response.body().equals(expectedBody(requestId, route))) {
            ledger.recordViolation(requestId + " received an incomplete or wrong body: " + response.body());
        }
    }

    private static String expectedBody(final String requestId, final String route) {
        if (!route.equals("stream")) {
            return SoakUpstream.responseBody(requestId);
        }
        final StringBuilder events = new StringBuilder();
        for (int eventNumber = 1; eventNumber <= SoakUpstream.EVENT_COUNT; eventNumber++) {
            events.append(SoakUpstream.eventFrame(requestId, eventNumber));
        }
        return events.toString();
    }
}
