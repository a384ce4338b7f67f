package org.lacewingstep.standin;

import java.net.URI;
import java.util.List;

import ratpack.server.RatpackServer;

/** Runs the platform's stand-ins in the calling process, for tests over real sockets. */
public final class StandIns implements AutoCloseable {
    private final RatpackServer list;
    private final RatpackServer store;

    /**
     * Starts a store and a list that names the given instances.
     *
     * @param operatorAddresses the operator addresses of the instances, not null
     */
    public StandIns(final List<String> operatorAddresses) throws Exception {
        this.store = StandInServer.start(0, new StoreStandIn());
        this.list = StandInMain.startList(0, operatorAddresses);
    }

    @Override
    public void close() throws Exception {
        store.stop();
        list.stop();
    }

    /**
     * Gets the address of the list.
     *
     * @return the address, never null
     */
    public URI listAddress() {
        return URI.create("http://127.0.0.1:" + list.getBindPort() + "/instances");
    }

    /**
     * Gets the address of the store.
     *
     * @return the address, never null
     */
    public URI storeAddress() {
        return URI.create("http://127.0.0.1:" + store.getBindPort());
    }
}
