package org.lacewingstep.peer;

import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.layered.TFramedTransport;

/** Reads and writes Thrift structs in frames over one TCP connection. */
final class PeerChannel implements AutoCloseable {
    private static final int MAX_FRAME_BYTES = 64 * 1024 * 1024;

    private final TProtocol protocol;
    private final TTransport transport;

    /**
     * Wraps a connected socket.
     *
     * @param socket the socket, not null
     * @throws TException if the socket cannot be used
     */
    PeerChannel(final TSocket socket) throws TException {
        this.transport = new TFramedTransport(socket, MAX_FRAME_BYTES);
        this.protocol = new TCompactProtocol(transport);
    }

    /**
     * Creates the Thrift configuration with the size limits of messages and frames.
     *
     * @return the configuration, never null
     */
    static TConfiguration frameLimits() {
        return new TConfiguration(MAX_FRAME_BYTES, MAX_FRAME_BYTES, TConfiguration.DEFAULT_RECURSION_DEPTH);
    }

    @Override
    public void close() {
        transport.close();
    }

    /**
     * Reads a struct; blocks until the peer has sent one.
     *
     * @param struct receives the fields that are read, not null
     * @throws TException if the connection fails
     */
    void read(final TBase<?, ?> struct) throws TException {
        struct.read(protocol);
    }

    /**
     * Writes a struct and flushes it.
     *
     * @param struct the struct to write, not null
     * @throws TException if the connection fails
     */
    void write(final TBase<?, ?> struct) throws TException {
        struct.write(protocol);
        transport.flush();
    }
}
