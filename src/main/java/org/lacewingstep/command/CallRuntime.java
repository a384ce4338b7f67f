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

/** Runs HTTP calls for commands and waits for their answers. */
final class CallRuntime implements AutoCloseable {
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(20);

    private final HttpClient client;
    private final ExecController execution = new DefaultExecController(1);

    /** Creates a runtime. */
    CallRuntime() {
        this.client = HttpClients.create(execution);
    }

    @Override
    public void close() {
        client.close();
        execution.close();
    }

    /**
     * Runs a call.
     *
     * @param <T> the answer's type
     * @param call the call, not null
     * @return the answer
     * @throws RouterException if the call fails or does not answer in time
     */
    <T> T run(final Function<HttpClient, Promise<T>> call) {
        final CompletableFuture<T> answer = new CompletableFuture<>();
        execution.fork().onError(answer::completeExceptionally).start(started -> call.apply(client)
                .then(answer::complete));
        try {
            return answer.get(ANSWER_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (final ExecutionException failure) {
            throw failed(failure.getCause());
        } catch (final InterruptedException | TimeoutException failure) {
            throw failed(failure);
        }
    }

    private static RouterException failed(final Throwable cause) {
        return cause instanceof RouterException known
                ? known
                : new RouterException(ErrorCode.INTERNAL, "call", "remote", "the call failed: " + cause, cause);
    }
}
