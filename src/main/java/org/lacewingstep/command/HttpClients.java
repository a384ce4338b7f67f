package org.lacewingstep.command;

import java.time.Duration;

import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;

/** Creates HTTP clients with bounded time-outs and no pool: each call opens a connection of its own. */
final class HttpClients {
    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(1);
    private static final int LARGEST_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final Duration READ_LIMIT = Duration.ofSeconds(3);

    private HttpClients() {}

    /**
     * Creates a client.
     *
     * @param execution runs the calls, not null
     * @return the client, never null
     */
    static HttpClient create(final ExecController execution) {
        try {
            return HttpClient.of(spec -> spec.execController(execution)
                    .poolSize(0)
                    .useJdkAddressResolver()
                    .connectTimeout(CONNECT_LIMIT)
                    .readTimeout(READ_LIMIT)
                    .maxContentLength(LARGEST_ANSWER_BYTES));
        } catch (final Exception failure) {
            throw new IllegalStateException("cannot create the HTTP client", failure);
        }
    }
}
