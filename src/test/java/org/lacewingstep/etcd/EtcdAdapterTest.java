package org.lacewingstep.etcd;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Base64;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.http.client.HttpClient;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests reading of the membership over real sockets. */
class EtcdAdapterTest {
    private static final Incarnation SOUND = new Incarnation(new InstanceName("a"), 7);
    private static final String INSTANCES =
            """
            {"instances":[{"name":"","incarnation":1},{"name":" "},5,null,{"name":"b","incarnation":1e999999999},
            {"name":"c","incarnation":"[["},{"name":"a","incarnation":7}]}""";

    @Test
    void invalidLeaseOrInstanceDoesNotHideTheOthers() throws Exception {
        final HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/v3/kv/range", exchange -> respond(exchange, leases()));
        server.createContext("/instances", exchange -> respond(exchange, INSTANCES));
        server.start();
        final URI address = URI.create("http://127.0.0.1:" + server.getAddress().getPort());
        final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
        try (ExecController execution = new DefaultExecController(1);
                HttpClient client =
                        HttpClient.of(spec -> spec.execController(execution).poolSize(0))) {
            new EtcdAdapter(
                            new Member(SOUND, new PeerAddress("127.0.0.1", 1), new FailureDomainName("z")),
                            client,
                            address,
                            address.resolve("/instances"),
                            10,
                            Instant::now,
                            events::add,
                            execution)
                    .readMembership();

            final Set<Set<Incarnation>> read = new HashSet<>();
            for (int i = 0; i < 2; i++) {
                final Event event = events.poll(30, TimeUnit.SECONDS);
                assertThat(event).isNotNull();
                read.add(
                        switch (event) {
                            case Event.LeasesRead(var leased, Instant requestedAt) -> leased;
                            case Event.InstanceListRead(var listed, Instant requestedAt) -> listed;
                            default -> Set.of();
                        });
            }
            assertThat(read).containsExactly(Set.of(SOUND));
        } finally {
            server.stop(0);
        }
    }

    private static String leases() {
        return "{\"kvs\":[%s,%s,%s,%s]}"
                .formatted(lease(""), lease("a/99999999999999999999"), lease("\ud800/x"), lease("a/7"));
    }

    private static String lease(final String name) {
        final byte[] key = (StoreKeys.LEASE_PREFIX + name).getBytes(StandardCharsets.UTF_8);
        return "{\"key\":\"%s\",\"value\":\"MQ==\"}"
                .formatted(Base64.getEncoder().encodeToString(key));
    }

    private static void respond(final HttpExchange exchange, final String body) throws IOException {
        final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
