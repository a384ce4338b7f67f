package org.lacewingstep.upstream;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;

/** Holds one pool of upstream connections for each event loop. */
public final class UpstreamPools {
    private final BufferBudget budget;
    private final Class<? extends SocketChannel> channelType;
    private final ConcurrentMap<EventLoop, UpstreamPool> pools = new ConcurrentHashMap<>();

    /**
     * Creates an empty set of pools.
     *
     * @param channelType the channel type that the event loops support, not null
     * @param budget the budget of all bodies in the process, not null
     */
    public UpstreamPools(final Class<? extends SocketChannel> channelType, final BufferBudget budget) {
        this.budget = budget;
        this.channelType = channelType;
    }

    /**
     * Returns the pool of an event loop, and creates the pool on first use.
     *
     * @param loop the event loop, not null
     * @return the pool, never null
     */
    public UpstreamPool poolFor(final EventLoop loop) {
        return pools.computeIfAbsent(loop, key -> new UpstreamPool(key, channelType, budget));
    }
}
