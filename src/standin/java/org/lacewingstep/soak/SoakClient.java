package org.lacewingstep.soak;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

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
    private final boolean crashingParts;
    private final Random random;
    private final SoakSite site;

    private volatile boolean stopped;

    /**
     * Creates a client.
     *
     * @param clientNumber the number of the client, which its request identifiers contain
     * @param seed the seed of the soak
     * @param crashingParts whether streams carry prompt parts, some of which crash upstreams
     * @param site the site
     * @param ledger the ledger that learns every request and its outcome
     */
    SoakClient(
            final int clientNumber,
            final long seed,
            final boolean crashingParts,
            final SoakSite site,
            final SoakLedger ledger) {
        this.clientNumber = clientNumber;
        this.crashingParts = crashingParts;
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
        final int instance = random.nextInt(site.instanceCount());
        final HttpRequest.Builder builder = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + site.callerPort(instance) + "/" + route + "/x"))
                .header("Request-Id", requestId)
                .header("Api-Key", key)
                .header("Tenant", "somebody else")
                .header("Deadline-Ms", Long.toString(WAIT_LIMIT.toMillis()));
        String promptParts = "";
        if (route.equals("stream")) {
            builder.header("Token-Count", "100,50");
            if (crashingParts) {
                promptParts = CrashingPart.drawParts(random);
                builder.header("Prompt-Prefix", promptParts);
            }
        }
        final HttpRequest request = route.equals("again")
                ? builder.GET().build()
                : builder.POST(HttpRequest.BodyPublishers.ofString("work")).build();
        final long sentAt = SoakClock.now();
        ledger.recordSent(requestId, instance, route, promptParts, sentAt);
        final ReceivedResponse received = new ReceivedResponse();
        final CompletableFuture<HttpResponse<Void>> exchange = client.sendAsync(request, received);
        try {
            exchange.get(WAIT_LIMIT.plusSeconds(2).toMillis(), TimeUnit.MILLISECONDS);
            recordResponse(requestId, route, key, sentAt, received);
        } catch (final ExecutionException | TimeoutException incomplete) {
            exchange.cancel(true);
            checkIncompleteResponse(requestId, route, received);
            ledger.recordOutcome(requestId, Outcome.CUT, SoakClock.now());
        } catch (final InterruptedException interruption) {
            stopped = true;
        }
    }

    private void recordResponse(
            final String requestId,
            final String route,
            final String key,
            final long sentAt,
            final ReceivedResponse response) {
        final long now = SoakClock.now();
        if (response.statusCode() == HTTP_OK) {
            checkCompleteResponse(requestId, route, response);
            ledger.recordOutcome(requestId, Outcome.SERVED, now);
        } else if (NOT_RUN_STATUSES.contains(response.statusCode())) {
            ledger.recordOutcome(requestId, Outcome.REFUSED, now);
        } else {
            ledger.recordOutcome(requestId, Outcome.FAILED, now);
            if (response.statusCode() == UNAUTHORIZED && site.isKeyValidSince(key, sentAt)) {
                ledger.recordViolation(requestId + " was denied although its key is valid");
            }
        }
    }

    private void checkCompleteResponse(final String requestId, final String route, final ReceivedResponse response) {
        checkSeal(requestId, response);
        if (!response.body().equals(expectedBody(requestId, route))) {
            ledger.recordViolation(requestId + " received an incomplete or wrong body: " + response.body());
        }
    }

    /** Checks that a response that broke off has brought nothing but the beginning of the right one. */
    private void checkIncompleteResponse(final String requestId, final String route, final ReceivedResponse response) {
        if (response.statusCode() == HTTP_OK) {
            checkSeal(requestId, response);
            if (!expectedBody(requestId, route).startsWith(response.body())) {
                ledger.recordViolation(requestId + " received a wrong body that broke off: " + response.body());
            }
        }
    }

    private void checkSeal(final String requestId, final ReceivedResponse response) {
        if (!response.seal().equals("seal-" + requestId)) {
            ledger.recordViolation(requestId + " received the response of another request");
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
