package org.lacewingstep.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RolePlan;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.standin.FixedResponseServer;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.http.client.HttpClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over real sockets that a response of the store with an invalid head, or without its body, is a failed call. A
 * body that is cut to nothing must not read as a store without items, nor as a confirmation.
 */
class PlatformStoreAdapterTest {
    private static final String BODY =
            """
            {"items":[{"key":"op/evacuate/a","value":"","revision":5}],"hasMore":false,"asOf":7,"events":[],
            "revision":9,"lease":4,"ttlMs":3000}""";
    private static final Duration LIFETIME = Duration.ofSeconds(3);
    private static final Member SELF = new Member(
            new Incarnation(new InstanceName("a"), 7), new PeerAddress("127.0.0.1", 1), new FailureDomainName("z"));
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final ExecController execution = new DefaultExecController(1);

    private PlatformStoreAdapter adapter;
    private HttpClient client;
    private FixedResponseServer server;

    @BeforeEach
    void start() throws Exception {
        server = new FixedResponseServer();
        client = HttpClient.of(spec -> spec.execController(execution).poolSize(0));
        adapter = new PlatformStoreAdapter(
                client, new PeerAddress("127.0.0.1", server.port()), Instant::now, events::add, execution);
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
    void responseWithAnInvalidHeadIsAFailedCall(final String head) throws Exception {
        assertAllCallsFail("HTTP/1.1 " + head + "\r\n\r\n" + BODY);
    }

    @Test
    void responseWithoutItsBodyIsAFailedCall() throws Exception {
        assertAllCallsFail("HTTP/1.1 200 OK\r\n\r\n");
    }

    @Test
    void soundResponseWithoutLengthIsRead() throws Exception {
        server.setResponse("HTTP/1.1 200 OK\r\n\r\n" + BODY);

        adapter.readAll();
        assertThat(nextEvent()).isInstanceOfSatisfying(Event.StoreRead.class, read -> {
            assertThat(read.content()).hasSize(1);
            assertThat(read.revision()).isEqualTo(new StoreRevision(0, 7));
        });
        adapter.pollChanges(new StoreRevision(0, 3), LIFETIME);
        assertThat(nextEvent()).isInstanceOf(Event.StoreChanged.class);
        adapter.confirmTable(new StoreRevision(0, 3));
        assertThat(nextEvent()).isInstanceOf(Event.TableConfirmed.class);
        adapter.renewPresence(SELF, 0, LIFETIME);
        assertThat(nextEvent()).isEqualTo(new Event.PresenceRenewalEnded(true, 4));
        adapter.renewPresence(SELF, 4, LIFETIME);
        assertThat(nextEvent()).isEqualTo(new Event.PresenceRenewalEnded(true, 4));
    }

    @Test
    void eraIsReportedBeforeTheContentEachTimeThatTheHeaderChanges() throws Exception {
        assertThat(eventsAfterResponseWith("Store-Era: 7\r\n")).containsExactly(observed(7L, "7"));
        assertThat(eventsAfterResponseWith("store-era: 7\r\n")).isEmpty();
        assertThat(eventsAfterResponseWith("Store-Era: 8\r\n")).containsExactly(observed(8L, "8"));
        assertThat(eventsAfterResponseWith("Store-Era: x\r\n")).containsExactly(observed(null, "x"));
        assertThat(eventsAfterResponseWith("Store-Era: -1\r\n")).containsExactly(observed(null, "-1"));
        assertThat(eventsAfterResponseWith("Store-Era: 99999\r\n")).containsExactly(observed(null, "99999"));
        assertThat(eventsAfterResponseWith("")).containsExactly(observed(null, ""));
        assertThat(eventsAfterResponseWith("Store-Era: 8\r\n")).containsExactly(observed(8L, "8"));
    }

    @Test
    void responseOfAnotherEraThanItsRequestHidesChangesAndWritesNothing() throws Exception {
        final StoreRevision earlier = new StoreRevision(7, 3);
        final RolePlan plan = new RolePlan(SELF.name(), Map.of());
        eventsAfterResponseWith("Store-Era: 8\r\n");

        adapter.pollChanges(earlier, LIFETIME);
        assertThat(nextEvent())
                .isInstanceOfSatisfying(Event.StoreWatchFailed.class, failed -> assertThat(failed.historyLost())
                        .isTrue());
        adapter.confirmTable(earlier);
        assertThat(nextEvent())
                .isInstanceOfSatisfying(Event.TableConfirmed.class, confirmed -> assertThat(confirmed.revision())
                        .isEqualTo(new StoreRevision(8, 3)));
        adapter.writeRolePlan(plan, earlier);
        assertThat(nextEvent())
                .isInstanceOfSatisfying(Event.RolePlanWriteEnded.class, ended -> assertThat(ended.revision())
                        .isEmpty());
        adapter.writeRolePlan(plan, StoreRevision.absent(8));
        assertThat(nextEvent())
                .isInstanceOfSatisfying(Event.RolePlanWriteEnded.class, ended -> assertThat(ended.revision())
                        .contains(new StoreRevision(8, 9)));
    }

    @Test
    void pagesOfTwoErasAreNotOneReading() throws Exception {
        server.setResponse("HTTP/1.1 200 OK\r\nStore-Era: 7\r\n\r\n" + BODY.replace("false", "true"));
        adapter.readAll();
        assertThat(nextEvent()).isEqualTo(observed(7L, "7"));
        server.setResponse("HTTP/1.1 200 OK\r\nStore-Era: 8\r\n\r\n" + BODY);

        assertThat(nextEvent()).isEqualTo(observed(8L, "8"));
        assertThat(nextEvent())
                .isInstanceOfSatisfying(Event.StoreWatchFailed.class, failed -> assertThat(failed.reason())
                        .contains("came back from a copy while it was read"));
    }

    private static Event observed(final Long era, final String header) {
        return new Event.StoreEraObserved(Optional.ofNullable(era), header);
    }

    /** Returns the events that precede the content of a response. */
    private List<Event> eventsAfterResponseWith(final String header) throws Exception {
        server.setResponse("HTTP/1.1 200 OK\r\n" + header + "\r\n" + BODY);
        adapter.readAll();
        final List<Event> preceding = new ArrayList<>();
        Event next = nextEvent();
        while (!(next instanceof Event.StoreRead)) {
            preceding.add(next);
            next = nextEvent();
        }
        return preceding;
    }

    private void assertAllCallsFail(final String bytes) throws Exception {
        server.setResponse(bytes);

        adapter.readAll();
        assertThat(nextEvent()).isInstanceOf(Event.StoreWatchFailed.class);
        adapter.pollChanges(new StoreRevision(0, 3), LIFETIME);
        assertThat(nextEvent()).isInstanceOf(Event.StoreWatchFailed.class);
        adapter.confirmTable(new StoreRevision(0, 3));
        assertThat(nextEvent()).isInstanceOf(Event.TableConfirmationFailed.class);
        adapter.renewPresence(SELF, 0, LIFETIME);
        assertThat(nextEvent()).isEqualTo(new Event.PresenceRenewalEnded(false, 0));
        adapter.renewPresence(SELF, 4, LIFETIME);
        assertThat(nextEvent()).isEqualTo(new Event.PresenceRenewalEnded(false, 4));
    }

    private Event nextEvent() throws InterruptedException {
        return events.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }
}
