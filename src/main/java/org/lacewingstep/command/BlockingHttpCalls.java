package org.lacewingstep.command;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.exec.internal.DefaultExecController;
import ratpack.http.client.HttpClient;

/** Runs HTTP calls of commands and blocks until the response arrives or the call times out. */
final class BlockingHttpCalls implements AutoCloseable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient client;
    private final ExecController execController = new DefaultExecController(1);

    /** Creates an HTTP client with an event loop thread of its own. */
    BlockingHttpCalls() {
        this.client = HttpClients.create(execController);
    }

    @Override
    public void close() {
        client.close();
        execController.close();
    }

    /**
     * Runs a call and waits for its result.
     *
     * @param <T> the type of the call's result
     * @param call starts the call on the given client, not null
     * @return the result of the call
     * @throws RouterException if the call fails or does not complete within the timeout
     */
    <T> T run(final Function<HttpClient, Promise<T>> call) {
        final CompletableFuture<T> result = new CompletableFuture<>();
        execController.fork().onError(result::completeExceptionally).start(started -> call.apply(client)
                .then(result::complete));
        try {
            return result.get(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (final ExecutionException failure) {
            throw toRouterException(failure.getCause());
        } catch (final InterruptedException | TimeoutException failure) {
            throw toRouterException(failure);
        }
    }

    private static RouterException toRouterException(final Throwable cause) {
        return cause instanceof RouterException routerException
                ? routerException
                : new RouterException(ErrorCode.INTERNAL, "call", "remote", "the call failed: " + cause, cause);
    }
}
