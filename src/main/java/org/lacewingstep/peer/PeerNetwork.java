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

/** Connections between instances: one outgoing connection a peer, and the incoming ones. */
public final class PeerNetwork implements AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger(PeerNetwork.class);

    private final Consumer<Event> events;
    private final Counter receivedMessages;
    private final Incarnation self;
    private final ConcurrentMap<Incarnation, PeerSender> senders = new ConcurrentHashMap<>();
    private final Counter sentMessages;
    private final ServerSocket server;

    /**
     * Binds the peer address; accepts nothing before {@link #start()}.
     *
     * @param self this process, not null
     * @param address where to listen, not null
     * @param events receives what arrives, not null
     * @param metrics counts messages, not null
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
     * Sends a message; it may be lost.
     *
     * @param receiver the member, not null
     * @param message the message, not null
     */
    public void send(final Member receiver, final PeerMessage message) {
        final PeerSender sender = senders.compute(
                receiver.incarnation(), (process, open) -> open == null || open.isClosed() ? open(receiver) : open);
        sender.send(message);
    }

    /** Begins to accept connections. */
    public void start() {
        Thread.ofVirtual().name("peer-listener").start(this::accept);
    }

    private PeerSender open(final Member receiver) {
        final Incarnation process = receiver.incarnation();
        return new PeerSender(self, receiver, () -> events.accept(new Event.PeerUnreachable(process)), sentMessages);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                final Socket socket = server.accept();
                Thread.ofVirtual().name("peer-receiver").start(() -> receive(socket));
            } catch (final IOException failure) {
                LOGGER.debug("peer listener: {}", failure.getMessage());
            }
        }
    }

    private void receive(final Socket socket) {
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
