package org.lacewingstep.peer;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.Counter;
import org.apache.thrift.TException;
import org.apache.thrift.transport.TSocket;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Member;
import org.lacewingstep.peer.wire.WireAcknowledgement;
import org.lacewingstep.peer.wire.WireHello;
import org.lacewingstep.peer.wire.WireMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends messages to one peer over one connection. The peer acknowledges the messages that it has read. A connection is
 * closed when messages stay unacknowledged for longer than the acknowledgement timeout; the next message opens a new
 * connection.
 */
final class PeerSender {
    private static final Duration ACKNOWLEDGEMENT_TIMEOUT = Duration.ofSeconds(2);
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1000;
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final Logger LOGGER = LoggerFactory.getLogger(PeerSender.class);
    private static final int QUEUE_CAPACITY = 10_000;

    private final AtomicLong acknowledgedOnConnection = new AtomicLong();
    private final Runnable onUnreachable;
    private final Member peer;
    private final BlockingQueue<PeerMessage> queue = new LinkedBlockingQueue<>(QUEUE_CAPACITY);
    private final Incarnation self;
    private final Counter sentMessages;

    private PeerChannel channel;
    private volatile boolean closed;
    private long sentOnConnection;
    private long unacknowledgedSince;

    /**
     * Creates a sender and starts its virtual thread.
     *
     * @param self this process, not null
     * @param peer the member that receives the messages, not null
     * @param onUnreachable runs after a failed send or an acknowledgement timeout, not null
     * @param sentMessages counts the sent messages, not null
     */
    PeerSender(final Incarnation self, final Member peer, final Runnable onUnreachable, final Counter sentMessages) {
        this.self = self;
        this.peer = peer;
        this.onUnreachable = onUnreachable;
        this.sentMessages = sentMessages;
        Thread.ofVirtual().name("peer-sender-" + peer.name()).start(this::run);
    }

    /** Stops the sender; queued messages may be discarded. */
    void close() {
        closed = true;
    }

    /**
     * Queues a message; drops the message if the queue is full.
     *
     * @param message the message, not null
     */
    void enqueue(final PeerMessage message) {
        if (!queue.offer(message)) {
            LOGGER.warn("dropped a message to {}: the queue is full with {} messages", peer.name(), QUEUE_CAPACITY);
        }
    }

    /**
     * Returns whether the sender is closed.
     *
     * @return true if the sender delivers no further messages
     */
    boolean isClosed() {
        return closed;
    }

    private void run() {
        long idleSince = System.nanoTime();
        while (!closed) {
            final PeerMessage message = pollQueue();
            if (message != null) {
                idleSince = System.nanoTime();
                send(message);
            } else if (System.nanoTime() - idleSince > IDLE_TIMEOUT.toNanos()) {
                closed = true;
            }
            replaceUnacknowledgedConnection();
        }
        disconnect();
    }

    private PeerMessage pollQueue() {
        try {
            return queue.poll(ACKNOWLEDGEMENT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (final InterruptedException interruption) {
            closed = true;
            return null;
        }
    }

    private void send(final PeerMessage message) {
        try {
            if (channel == null) {
                connect();
            }
            channel.write(PeerCodec.encode(message));
            if (acknowledgedOnConnection.get() == sentOnConnection) {
                unacknowledgedSince = System.nanoTime();
            }
            sentOnConnection++;
            sentMessages.inc();
        } catch (final TException | RuntimeException failure) {
            LOGGER.debug("could not send to {}: {}", peer.name(), failure.getMessage());
            dropConnection();
        }
    }

    private void connect() throws TException {
        final TSocket socket = new TSocket(
                PeerChannel.frameLimits(),
                peer.address().host(),
                peer.address().port(),
                0,
                CONNECT_TIMEOUT_MILLISECONDS);
        socket.open();
        final PeerChannel opened = new PeerChannel(socket);
        opened.write(WireMessage.hello(new WireHello(self.instance().value(), self.number())));
        sentOnConnection = 0;
        acknowledgedOnConnection.set(0);
        channel = opened;
        Thread.ofVirtual().name("peer-acknowledgements-" + peer.name()).start(() -> readAcknowledgements(opened));
    }

    private void readAcknowledgements(final PeerChannel opened) {
        final WireAcknowledgement acknowledgement = new WireAcknowledgement();
        try {
            while (!closed) {
                opened.read(acknowledgement);
                acknowledgedOnConnection.set(acknowledgement.getMessages());
            }
        } catch (final TException failure) {
            LOGGER.debug("reading acknowledgements from {} ended: {}", peer.name(), failure.getMessage());
        }
    }

    private void replaceUnacknowledgedConnection() {
        final boolean unacknowledged = channel != null && acknowledgedOnConnection.get() < sentOnConnection;
        if (unacknowledged && System.nanoTime() - unacknowledgedSince > ACKNOWLEDGEMENT_TIMEOUT.toNanos()) {
            LOGGER.warn(
                    "messages to {} were unacknowledged for longer than the timeout, closing the connection",
                    peer.name());
            dropConnection();
        }
    }

    /**
     * Closes the connection and drops the queued messages, which would be stale by the time a new connection is
     * established. The controllers tolerate lost messages.
     */
    private void dropConnection() {
        disconnect();
        queue.clear();
        onUnreachable.run();
    }

    private void disconnect() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }
}
