package org.lacewingstep.peer;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.StoreRevision;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the connections between instances over real sockets. */
class PeerNetworkTest {
    private static final Incarnation RECEIVER = new Incarnation(new InstanceName("b"), 1);
    private static final Incarnation SENDER = new Incarnation(new InstanceName("a"), 1);

    @Test
    void messageThatCannotBeEncodedDoesNotEndTheSending() throws Exception {
        final PeerAddress address = new PeerAddress("127.0.0.1", freePort());
        final BlockingQueue<Event> received = new LinkedBlockingQueue<>();
        try (PeerNetwork receiver = new PeerNetwork(RECEIVER, address, received::add, new MetricRegistry());
                PeerNetwork sender = new PeerNetwork(
                        SENDER, new PeerAddress("127.0.0.1", freePort()), event -> {}, new MetricRegistry())) {
            receiver.start();
            final Member peer = new Member(RECEIVER, address, new FailureDomainName("z"));
            sender.send(
                    peer,
                    new PeerMessage.StoreUpdate(
                            1,
                            new StoreRevision(0, 1),
                            new StoreRevision(0, 1),
                            true,
                            List.of(new StoreChange.TableWritten(RoutingTable.EMPTY, new StoreRevision(0, 1)))));

            Event event = null;
            for (int i = 0; i < 30 && event == null; i++) {
                sender.send(peer, new PeerMessage.StoreQuery(2, new StoreRevision(0, 2)));
                event = received.poll(1, TimeUnit.SECONDS);
            }

            assertThat(event)
                    .isEqualTo(new Event.PeerMessageReceived(
                            SENDER, new PeerMessage.StoreQuery(2, new StoreRevision(0, 2))));
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
