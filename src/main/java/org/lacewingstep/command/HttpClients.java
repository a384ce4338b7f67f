package org.lacewingstep.command;

import java.time.Duration;

import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;

/** Creates HTTP clients with connect and read timeouts and without a pool: each call opens a new connection. */
final class HttpClients {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(3);

    private HttpClients() {}

    /**
     * Creates an HTTP client.
     *
     * @param execController the controller whose event loop threads run the calls, not null
     * @return the client, never null
     */
    static HttpClient create(final ExecController execController) {
        try {
            return HttpClient.of(spec -> spec.execController(execController)
                    .poolSize(0)
                    .useJdkAddressResolver()
                    .connectTimeout(CONNECT_TIMEOUT)
                    .readTimeout(READ_TIMEOUT)
                    .maxContentLength(MAX_RESPONSE_BYTES));
        } catch (final Exception failure) {
            throw new IllegalStateException("cannot create the HTTP client", failure);
        }
    }
}
