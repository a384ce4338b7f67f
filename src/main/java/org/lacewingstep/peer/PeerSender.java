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
 * Sends messages to one peer over one connection. The peer acknowledges what it has read; a connection on which
 * acknowledgements stay out is replaced by a new one.
 */
final class PeerSender {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1000;
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(30);
    private static final Logger LOGGER = LoggerFactory.getLogger(PeerSender.class);
    private static final int QUEUE_LIMIT = 10_000;
    private static final Duration SILENCE_LIMIT = Duration.ofSeconds(2);

    private final AtomicLong acknowledged = new AtomicLong();
    private final Member peer;
    private final BlockingQueue<PeerMessage> queue = new LinkedBlockingQueue<>(QUEUE_LIMIT);
    private final Incarnation self;
    private final Counter sentMessages;
    private final Runnable unreachable;

    private PeerChannel channel;
    private volatile boolean closed;
    private long sent;
    private long waitingSince;

    /**
     * Creates a sender and starts its thread.
     *
     * @param self this process, not null
     * @param peer the receiver, not null
     * @param unreachable called when the peer could not be reached, not null
     * @param sentMessages counts the messages sent, not null
     */
    PeerSender(final Incarnation self, final Member peer, final Runnable unreachable, final Counter sentMessages) {
        this.self = self;
        this.peer = peer;
        this.unreachable = unreachable;
        this.sentMessages = sentMessages;
        Thread.ofVirtual().name("peer-sender-" + peer.name()).start(this::run);
    }

    /** Ends the sender. */
    void close() {
        closed = true;
    }

    /**
     * Tells whether the sender has ended.
     *
     * @return true if it sends nothing more
     */
    boolean isClosed() {
        return closed;
    }

    /**
     * Queues a message; drops it if too many wait.
     *
     * @param message the message, not null
     */
    void send(final PeerMessage message) {
        if (!queue.offer(message)) {
            LOGGER.warn("dropped a message to {}: {} are waiting", peer.name(), QUEUE_LIMIT);
        }
    }

    private void run() {
        long idleSince = System.nanoTime();
        while (!closed) {
            final PeerMessage message = poll();
            if (message != null) {
                idleSince = System.nanoTime();
                deliver(message);
            } else if (System.nanoTime() - idleSince > IDLE_LIMIT.toNanos()) {
                closed = true;
            }
            replaceSilentConnection();
        }
        disconnect();
    }

    private PeerMessage poll() {
        try {
            return queue.poll(SILENCE_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (final InterruptedException interruption) {
            closed = true;
            return null;
        }
    }

    private void deliver(final PeerMessage message) {
        try {
            if (channel == null) {
                connect();
            }
            channel.write(PeerCodec.encode(message));
            if (acknowledged.get() == sent) {
                waitingSince = System.nanoTime();
            }
            sent++;
            sentMessages.inc();
        } catch (final TException failure) {
            LOGGER.debug("could not send to {}: {}", peer.name(), failure.getMessage());
            abandon();
        }
    }

    private void connect() throws TException {
        final TSocket socket = new TSocket(
                PeerChannel.limits(), peer.address().host(), peer.address().port(), 0, CONNECT_TIMEOUT_MILLISECONDS);
        socket.open();
        final PeerChannel opened = new PeerChannel(socket);
        opened.write(WireMessage.hello(new WireHello(self.instance().value(), self.number())));
        sent = 0;
        acknowledged.set(0);
        channel = opened;
        Thread.ofVirtual().name("peer-acknowledgements-" + peer.name()).start(() -> readAcknowledgements(opened));
    }

    private void readAcknowledgements(final PeerChannel opened) {
        final WireAcknowledgement acknowledgement = new WireAcknowledgement();
        try {
            while (!closed) {
                opened.read(acknowledgement);
                acknowledged.set(acknowledgement.getMessages());
            }
        } catch (final TException failure) {
            LOGGER.debug("no more acknowledgements from {}: {}", peer.name(), failure.getMessage());
        }
    }

    private void replaceSilentConnection() {
        final boolean waiting = channel != null && acknowledged.get() < sent;
        if (waiting && System.nanoTime() - waitingSince > SILENCE_LIMIT.toNanos()) {
            LOGGER.warn("connection to {} is silent, replacing it", peer.name());
            abandon();
        }
    }

    /** What waits is stale by the time a new connection stands, so it is dropped; the decisions expect losses. */
    private void abandon() {
        disconnect();
        queue.clear();
        unreachable.run();
    }

    private void disconnect() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }
}
