package org.lacewingstep.etcd;

import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import org.lacewingstep.standin.FixedResponseServer;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.exec.internal.DefaultExecController;
import ratpack.http.client.HttpClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests over real sockets that a response of the store with an invalid head, or without its body, is a failed call. A
 * body that is cut to nothing must not read as a store without keys, nor as a lost lease.
 */
class StoreClientTest {
    private static final String BODY =
            """
            {"header":{"revision":"3"},"succeeded":true,"ID":"5","result":{"TTL":"10"},
            "kvs":[{"key":"YQ==","value":"MQ==","mod_revision":"3"}]}""";
    private static final int TIMEOUT_SECONDS = 30;

    private final ExecController execution = new DefaultExecController(1);

    private HttpClient client;
    private FixedResponseServer server;
    private StoreClient store;

    @BeforeEach
    void start() throws Exception {
        server = new FixedResponseServer();
        client = HttpClient.of(spec -> spec.execController(execution).poolSize(0));
        store = new StoreClient(client, URI.create("http://127.0.0.1:" + server.port()));
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        execution.close();
        server.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"000 OK", "600 OK", "1000 OK", "200 OK\r\nContent-Length x: 0", "200 OK\r\nContent-Length x: 9"})
    void responseWithAnInvalidHeadIsAFailedCall(final String head) {
        assertAllCallsFail("HTTP/1.1 " + head + "\r\n\r\n" + BODY);
    }

    @Test
    void responseWithoutItsBodyIsAFailedCall() {
        assertAllCallsFail("HTTP/1.1 200 OK\r\n\r\n");
    }

    @Test
    void soundResponseWithoutLengthIsRead() throws Exception {
        server.setResponse("HTTP/1.1 200 OK\r\n\r\n" + BODY);

        final List<StoreClient.StoredValue> values = run(calling -> calling.readAll("a"));
        final boolean alive = run(calling -> calling.keepAlive(5));
        final long lease = run(calling -> calling.grantLease(5));

        assertThat(values).hasSize(1);
        assertThat(alive).isTrue();
        assertThat(lease).isEqualTo(5);
    }

    private void assertAllCallsFail(final String bytes) {
        server.setResponse(bytes);

        final List<Function<StoreClient, Promise<?>>> calls = List.of(
                calling -> calling.readAll("a"),
                calling -> calling.read("a"),
                calling -> calling.keepAlive(5),
                calling -> calling.grantLease(5),
                calling -> calling.put("a", new byte[1], 5),
                calling -> calling.compareAndPut("a", 0, new byte[1]),
                calling -> calling.delete("a"));
        assertThat(calls).allSatisfy(call -> assertThatThrownBy(
                        () -> run(calling -> call.apply(calling).map(Object.class::cast)))
                .cause()
                .isInstanceOfSatisfying(RouterException.class, failure -> assertThat(failure.code())
                        .isEqualTo(ErrorCode.STORE_UNREACHABLE)));
    }

    private <T> T run(final Function<StoreClient, Promise<T>> call) throws Exception {
        final CompletableFuture<T> result = new CompletableFuture<>();
        execution.fork().onError(result::completeExceptionally).start(started -> call.apply(store)
                .then(result::complete));
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
