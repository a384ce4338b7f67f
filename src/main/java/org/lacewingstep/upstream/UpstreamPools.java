package org.lacewingstep.upstream;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;

/** The connections to upstreams by event loop. */
public final class UpstreamPools {
    private final Class<? extends SocketChannel> channelType;
    private final ConcurrentMap<EventLoop, UpstreamPool> pools = new ConcurrentHashMap<>();

    /**
     * Creates the pools.
     *
     * @param channelType the type of channels that the event loops serve, not null
     */
    public UpstreamPools(final Class<? extends SocketChannel> channelType) {
        this.channelType = channelType;
    }

    /**
     * Gets the pool of an event loop.
     *
     * @param loop the event loop, not null
     * @return the pool, never null
     */
    public UpstreamPool of(final EventLoop loop) {
        return pools.computeIfAbsent(loop, key -> new UpstreamPool(key, channelType));
    }
}
