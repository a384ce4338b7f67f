package org.lacewingstep.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.lacewingstep.domain.PeerAddress;

/**
 * Pools the upstream connections of one event loop; used on that loop only.
 *
 * <p>The pool uses Netty's HTTP codec instead of Ratpack's client, because Ratpack's client hides whether a response is
 * complete, whether the response belongs to the request, and on which connection the response arrived.
 */
public final class UpstreamPool {
    /** Connect timeout: many times the network delay between failure domains. */
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 300;

    /**
     * Send buffer of a connection. Bounds the part of a request that has been written although the upstream has not
     * read it; only while a part is unwritten is a reset noticed that follows the end of the upstream's output.
     */
    private static final int SEND_BUFFER_BYTES = 128 * 1024;

    private final BufferBudget budget;
    private final Class<? extends SocketChannel> channelType;
    private final Map<PeerAddress, Deque<IdleConnection>> idleConnections = new HashMap<>();
    private final EventLoop loop;
    private final Map<PeerAddress, Integer> openConnectionCounts = new HashMap<>();

    /**
     * Creates a pool.
     *
     * @param loop the event loop, not null
     * @param channelType the channel type that the event loop supports, not null
     * @param budget the budget of all bodies in the process, not null
     */
    public UpstreamPool(
            final EventLoop loop, final Class<? extends SocketChannel> channelType, final BufferBudget budget) {
        this.budget = budget;
        this.loop = loop;
        this.channelType = channelType;
    }

    /**
     * Sends a request over an idle connection, or over a new connection if none is idle; fails the exchange if the
     * connection limit of the request is reached.
     *
     * @param request the request, not null
     * @param listener receives the events of the exchange on the event loop, not null
     * @return the exchange, never null
     */
    public UpstreamExchange send(final ExchangeRequest request, final Consumer<ExchangeEvent> listener) {
        final UpstreamExchange exchange = new UpstreamExchange(loop, request, listener, budget);
        final UpstreamConnection reused = pollIdle(request.address());
        if (reused != null) {
            reused.begin(exchange);
        } else if (openConnectionCounts.getOrDefault(request.address(), 0) >= request.connectionLimit()) {
            loop.execute(() -> exchange.report(
                    new ExchangeEvent.Failed(false, false, "all connections to the upstream are in use")));
        } else {
            connect(exchange);
        }
        return exchange;
    }

    private void onClosed(final UpstreamConnection connection) {
        openConnectionCounts.merge(
                connection.address(), -1, (count, change) -> count + change <= 0 ? null : count + change);
        final Deque<IdleConnection> idle = idleConnections.get(connection.address());
        if (idle != null) {
            idle.removeIf(entry -> entry.connection() == connection);
            if (idle.isEmpty()) {
                idleConnections.remove(connection.address());
            }
        }
    }

    /**
     * Closes the idle connections to an address.
     *
     * @param address the address, not null
     */
    void closeIdle(final PeerAddress address) {
        final Deque<IdleConnection> idle = idleConnections.remove(address);
        if (idle != null) {
            final List<IdleConnection> entries = new ArrayList<>(idle);
            entries.forEach(entry -> entry.connection().close());
        }
    }

    /**
     * Returns a connection to the pool for reuse until the connection's idle limit expires.
     *
     * @param connection the connection without a running exchange, not null
     */
    void release(final UpstreamConnection connection) {
        final long expiresAtNanos = System.nanoTime() + connection.idleLimit().toNanos();
        idleConnections
                .computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
                .push(new IdleConnection(connection, expiresAtNanos));
    }

    private UpstreamConnection pollIdle(final PeerAddress address) {
        final Deque<IdleConnection> idle = idleConnections.get(address);
        while (idle != null && !idle.isEmpty()) {
            final IdleConnection entry = idle.pop();
            if (entry.connection().isOpen() && entry.expiresAtNanos() - System.nanoTime() > 0) {
                return entry.connection();
            }
            entry.connection().close();
        }
        return null;
    }

    private void connect(final UpstreamExchange exchange) {
        final PeerAddress address = exchange.request().address();
        openConnectionCounts.merge(address, 1, Integer::sum);
        final ChannelFuture connectFuture = new Bootstrap()
                .group(loop)
                .channel(channelType)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        channel.pipeline().addLast(new HttpRequestEncoder(), new ResponseDecoder());
                    }
                })
                .connect(address.host(), address.port());
        connectFuture.addListener(done -> onConnected(exchange, connectFuture));
    }

    private void onConnected(final UpstreamExchange exchange, final ChannelFuture connectFuture) {
        final PeerAddress address = exchange.request().address();
        if (!connectFuture.isSuccess()) {
            openConnectionCounts.merge(address, -1, (count, change) -> count + change <= 0 ? null : count + change);
            exchange.report(new ExchangeEvent.Failed(
                    false, false, "cannot connect: " + connectFuture.cause().getMessage()));
            return;
        }
        final UpstreamConnection connection =
                new UpstreamConnection(this, address, (SocketChannel) connectFuture.channel());
        connectFuture.channel().pipeline().addLast(connection);
        connectFuture.channel().closeFuture().addListener(closing -> onClosed(connection));
        if (exchange.hasEnded()) {
            release(connection);
        } else {
            connection.begin(exchange);
        }
    }

    private record IdleConnection(UpstreamConnection connection, long expiresAtNanos) {}
}
