package org.lacewingstep.etcd;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.standin.SocketRequest;
import org.lacewingstep.standin.SocketServer;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.http.client.HttpClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over real sockets that a response which is no instance list is not read as one without instances: an instance
 * that is not listed counts as ended.
 */
class InstanceListTest {
    private static final String PATH = "/instances";
    private static final Incarnation SELF = new Incarnation(new InstanceName("a"), 7);
    private static final String SOUND = "HTTP/1.1 200 OK\r\n\r\n{\"instances\":[{\"name\":\"a\",\"incarnation\":7}]}";
    private static final int TIMEOUT_SECONDS = 30;

    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final Semaphore served = new Semaphore(0);

    private volatile String list = "";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "000 OK\r\n\r\n{\"instances\":[]}",
                "600 OK\r\n\r\n{\"instances\":[]}",
                "503 Down\r\n\r\n{\"error\":\"down\"}",
                "200 OK\r\nContent-Length x: 0\r\n\r\n{\"instances\":[]}",
                "200 OK\r\nContent-Length x: 9\r\n\r\n{\"instances\":[]}",
                "200 OK\r\n\r\n"
            })
    void responseThatIsNoListIsNotRead(final String response) throws Exception {
        try (SocketServer server = new SocketServer(this::respond);
                ExecController execution = new DefaultExecController(1);
                HttpClient client =
                        HttpClient.of(spec -> spec.execController(execution).poolSize(0))) {
            final URI address = URI.create("http://127.0.0.1:" + server.port());
            final EtcdAdapter adapter = new EtcdAdapter(
                    new Member(SELF, new PeerAddress("127.0.0.1", 1), new FailureDomainName("z")),
                    client,
                    address,
                    address.resolve(PATH),
                    10,
                    Instant::now,
                    events::add,
                    execution);

            list = "HTTP/1.1 " + response;
            adapter.readMembership();
            assertThat(served.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
            list = SOUND;
            adapter.readMembership();

            assertThat(events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .isInstanceOfSatisfying(Event.InstanceListRead.class, read -> assertThat(read.listed())
                            .isEqualTo(Set.of(SELF)));
        }
    }

    /** Responds to a request for the list; the store fails, so that only lists are posted. */
    private void respond(final Socket socket) throws IOException {
        final BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        if (SocketRequest.read(reader).orElseThrow().path().equals(PATH)) {
            socket.getOutputStream().write(list.getBytes(StandardCharsets.UTF_8));
            socket.close();
            served.release();
        }
    }
}
