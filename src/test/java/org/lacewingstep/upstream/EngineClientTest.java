package org.lacewingstep.upstream;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.LoadReport;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.standin.FixedResponseServer;
import org.lacewingstep.upstream.EngineClient.GenerationInput;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.exec.internal.DefaultExecController;
import ratpack.http.client.HttpClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests over real sockets that a response of an engine with another status, or with a cut body, is a failed call. */
class EngineClientTest {
    private static final AttemptIdentifier ATTEMPT = new AttemptIdentifier(new RequestIdentifier("r"), 1);
    private static final String BODY =
            """
            {"start_id":"one","cold":false,"running":[],"kv_transfer_params":{}}""";
    private static final GenerationInput INPUT = new GenerationInput("model", "prompt", 4);
    private static final Incarnation SELF = new Incarnation(new InstanceName("a"), 7);
    private static final int TIMEOUT_SECONDS = 30;

    private final ExecController execution = new DefaultExecController(1);

    private HttpClient client;
    private Upstream engine;
    private EngineClient engines;
    private FixedResponseServer server;

    @BeforeEach
    void start() throws Exception {
        server = new FixedResponseServer();
        client = HttpClient.of(spec -> spec.execController(execution).poolSize(0));
        engines = new EngineClient(client, SELF, Duration.ofSeconds(TIMEOUT_SECONDS));
        engine = new Upstream(
                new UpstreamName("engine"),
                new ServiceName("service"),
                UpstreamRole.DECODE,
                new PeerAddress("127.0.0.1", server.port()),
                new FailureDomainName("domain"),
                new CellName("cell"),
                8,
                false);
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        execution.close();
        server.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"000 OK", "99 OK", "600 OK", "1000 OK"})
    void responseWithAnotherStatusIsAFailedCall(final String status) {
        server.setResponse("HTTP/1.1 " + status + "\r\n\r\n" + BODY);

        assertFail(List.of(
                () -> engines.fetchLoad(engine),
                () -> engines.prefill(engine, ATTEMPT, INPUT),
                () -> engines.decode(engine, ATTEMPT, INPUT, NullNode.getInstance()),
                () -> engines.resume(engine, ATTEMPT, 1)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length x: 0", "Content-Length x: 9", "Transfer-Encoding x: chunked"})
    void responseWithACutBodyIsAFailedCall(final String field) {
        server.setResponse("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n" + BODY);

        assertFail(List.of(() -> engines.fetchLoad(engine), () -> engines.prefill(engine, ATTEMPT, INPUT)));
    }

    @Test
    void soundResponseIsRead() throws Exception {
        server.setResponse("HTTP/1.1 200 OK\r\n\r\n" + BODY);

        assertThat(run(() -> engines.fetchLoad(engine))).isInstanceOf(LoadReport.class);
        assertThat(run(() -> engines.prefill(engine, ATTEMPT, INPUT))).isInstanceOf(JsonNode.class);
    }

    private void assertFail(final List<Supplier<Promise<?>>> calls) {
        assertThat(calls)
                .allSatisfy(call -> assertThatThrownBy(() -> run(call)).isInstanceOf(ExecutionException.class));
    }

    private Object run(final Supplier<Promise<?>> call) throws Exception {
        final CompletableFuture<Object> result = new CompletableFuture<>();
        execution.fork().onError(result::completeExceptionally).start(started -> call.get()
                .map(Object.class::cast)
                .then(result::complete));
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
