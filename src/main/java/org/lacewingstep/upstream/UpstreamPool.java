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
import io.netty.handler.codec.http.HttpClientCodec;
import org.lacewingstep.domain.PeerAddress;

/**
 * The connections to upstreams of one event loop; used on that loop only.
 *
 * <p>Netty's codec is used in place of Ratpack's client, which hides whether an answer was whole, whether it belongs to
 * the request, and on which connection it came.
 */
public final class UpstreamPool {
    /** Longest time to open a connection: many times the way between failure domains. */
    private static final int CONNECT_LIMIT_MILLISECONDS = 300;

    private static final int LARGEST_HEAD_BYTES = 64 * 1024;
    private static final int LARGEST_LINE_BYTES = 16 * 1024;
    private static final int LARGEST_CHUNK_BYTES = 64 * 1024;

    private final Class<? extends SocketChannel> channelType;
    private final Map<PeerAddress, Deque<Idle>> idle = new HashMap<>();
    private final EventLoop loop;
    private final Map<PeerAddress, Integer> open = new HashMap<>();

    /**
     * Creates a pool.
     *
     * @param loop the event loop, not null
     * @param channelType the type of channels that the loop serves, not null
     */
    public UpstreamPool(final EventLoop loop, final Class<? extends SocketChannel> channelType) {
        this.loop = loop;
        this.channelType = channelType;
    }

    /**
     * Sends a request.
     *
     * @param request the request, not null
     * @param listener receives what happens, on the event loop, not null
     * @return the exchange, never null
     */
    public UpstreamExchange send(final ExchangeRequest request, final Consumer<ExchangeEvent> listener) {
        final UpstreamExchange exchange = new UpstreamExchange(loop, request, listener);
        final UpstreamConnection kept = pollIdle(request.address());
        if (kept != null) {
            kept.begin(exchange);
        } else if (open.getOrDefault(request.address(), 0) >= request.connectionLimit()) {
            loop.execute(() -> exchange.report(
                    new ExchangeEvent.Failed(false, false, "all connections to the upstream are in use")));
        } else {
            connect(exchange);
        }
        return exchange;
    }

    private void closed(final UpstreamConnection connection) {
        open.merge(connection.address(), -1, (count, change) -> count + change <= 0 ? null : count + change);
        final Deque<Idle> kept = idle.get(connection.address());
        if (kept != null) {
            kept.removeIf(entry -> entry.connection() == connection);
            if (kept.isEmpty()) {
                idle.remove(connection.address());
            }
        }
    }

    /**
     * Closes the idle connections to an address.
     *
     * @param address the address, not null
     */
    void closeIdle(final PeerAddress address) {
        final Deque<Idle> kept = idle.remove(address);
        if (kept != null) {
            final List<Idle> entries = new ArrayList<>(kept);
            entries.forEach(entry -> entry.connection().close());
        }
    }

    /**
     * Keeps a connection for the next request.
     *
     * @param connection the connection, not null
     */
    void release(final UpstreamConnection connection) {
        final long until = System.nanoTime() + connection.idleLimit().toNanos();
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
                .push(new Idle(connection, until));
    }

    private UpstreamConnection pollIdle(final PeerAddress address) {
        final Deque<Idle> kept = idle.get(address);
        while (kept != null && !kept.isEmpty()) {
            final Idle entry = kept.pop();
            if (entry.connection().isOpen() && entry.until() - System.nanoTime() > 0) {
                return entry.connection();
            }
            entry.connection().close();
        }
        return null;
    }

    private void connect(final UpstreamExchange exchange) {
        final PeerAddress address = exchange.request().address();
        open.merge(address, 1, Integer::sum);
        final ChannelFuture opening = new Bootstrap()
                .group(loop)
                .channel(channelType)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_LIMIT_MILLISECONDS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(
                                        LARGEST_LINE_BYTES, LARGEST_HEAD_BYTES, LARGEST_CHUNK_BYTES));
                    }
                })
                .connect(address.host(), address.port());
        opening.addListener(done -> connected(exchange, opening));
    }

    private void connected(final UpstreamExchange exchange, final ChannelFuture opening) {
        final PeerAddress address = exchange.request().address();
        if (!opening.isSuccess()) {
            open.merge(address, -1, (count, change) -> count + change <= 0 ? null : count + change);
            exchange.report(new ExchangeEvent.Failed(
                    false, false, "no connection: " + opening.cause().getMessage()));
            return;
        }
        final UpstreamConnection connection = new UpstreamConnection(this, address, opening.channel());
        opening.channel().pipeline().addLast(connection);
        opening.channel().closeFuture().addListener(closing -> closed(connection));
        if (exchange.hasEnded()) {
            release(connection);
        } else {
            connection.begin(exchange);
        }
    }

    private record Idle(UpstreamConnection connection, long until) {}
}
