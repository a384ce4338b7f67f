package org.lacewingstep.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.apache.thrift.TException;
import org.apache.thrift.transport.TSocket;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import org.lacewingstep.peer.wire.WireAcknowledgement;
import org.lacewingstep.peer.wire.WireHello;
import org.lacewingstep.peer.wire.WireMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Manages the connections to peers: one outgoing connection per peer, and any number of incoming connections. */
public final class PeerNetwork implements AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger(PeerNetwork.class);

    private final Consumer<Event> events;
    private final Counter receivedMessages;
    private final Incarnation self;
    private final ConcurrentMap<Incarnation, PeerSender> senders = new ConcurrentHashMap<>();
    private final Counter sentMessages;
    private final ServerSocket server;

    /**
     * Binds the peer address. Connections are accepted only after {@link #start()}.
     *
     * @param self this process, not null
     * @param address the address to listen on, not null
     * @param events receives an event for each incoming message and each unreachable peer, not null
     * @param metrics the registry for the counters of sent and received messages, not null
     * @throws RouterException if the address cannot be bound
     */
    public PeerNetwork(
            final Incarnation self,
            final PeerAddress address,
            final Consumer<Event> events,
            final MetricRegistry metrics) {
        this.self = self;
        this.events = events;
        this.sentMessages = metrics.counter("peer.sent");
        this.receivedMessages = metrics.counter("peer.received");
        this.server = bind(address);
    }

    private static ServerSocket bind(final PeerAddress address) {
        try {
            final ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(address.host(), address.port()));
            return socket;
        } catch (final IOException failure) {
            throw new RouterException(
                    ErrorCode.SETTINGS_INVALID,
                    "listen for peers",
                    address.toString(),
                    "cannot bind the peer address: " + failure.getMessage(),
                    failure);
        }
    }

    @Override
    public void close() {
        senders.values().forEach(PeerSender::close);
        try {
            server.close();
        } catch (final IOException failure) {
            LOGGER.debug("closing the peer address failed: {}", failure.getMessage());
        }
    }

    /**
     * Queues a message to a member. Delivery is not guaranteed.
     *
     * @param receiver the member that receives the message, not null
     * @param message the message, not null
     */
    public void send(final Member receiver, final PeerMessage message) {
        final PeerSender sender = senders.compute(
                receiver.incarnation(),
                (process, current) -> current == null || current.isClosed() ? createSender(receiver) : current);
        sender.enqueue(message);
    }

    /** Starts to accept incoming connections. */
    public void start() {
        Thread.ofVirtual().name("peer-listener").start(this::acceptConnections);
    }

    private PeerSender createSender(final Member receiver) {
        final Incarnation process = receiver.incarnation();
        return new PeerSender(self, receiver, () -> events.accept(new Event.PeerUnreachable(process)), sentMessages);
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try {
                final Socket socket = server.accept();
                Thread.ofVirtual().name("peer-receiver").start(() -> receiveMessages(socket));
            } catch (final IOException failure) {
                LOGGER.debug("accepting a peer connection failed: {}", failure.getMessage());
            }
        }
    }

    private void receiveMessages(final Socket socket) {
        try (PeerChannel channel = new PeerChannel(new TSocket(socket))) {
            final WireMessage greeting = new WireMessage();
            channel.read(greeting);
            final WireHello hello = greeting.getHello();
            final Incarnation sender = new Incarnation(new InstanceName(hello.getInstance()), hello.getIncarnation());
            for (long count = 1; !server.isClosed(); count++) {
                final WireMessage message = new WireMessage();
                channel.read(message);
                events.accept(new Event.PeerMessageReceived(sender, PeerCodec.decode(message)));
                receivedMessages.inc();
                channel.write(new WireAcknowledgement(count));
            }
        } catch (final TException | RuntimeException failure) {
            LOGGER.debug("connection from {} ended: {}", socket.getRemoteSocketAddress(), failure.getMessage());
        }
    }
}
