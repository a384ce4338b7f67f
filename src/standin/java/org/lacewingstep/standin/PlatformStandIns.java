package org.lacewingstep.standin;

import java.net.URI;
import java.util.List;

import ratpack.server.RatpackServer;

/** Runs the stand-ins of the platform in the current process, for tests over real sockets. */
public final class PlatformStandIns implements AutoCloseable {
    private final RatpackServer list;
    private final RatpackServer store;

    /**
     * Starts a store and an instance list that checks the given instances.
     *
     * @param operatorAddresses the operator addresses of the instances, not null
     */
    public PlatformStandIns(final List<String> operatorAddresses) throws Exception {
        this.store = StandInServer.start(0, new EtcdStandIn());
        this.list = StandInMain.startList(0, operatorAddresses);
    }

    @Override
    public void close() throws Exception {
        store.stop();
        list.stop();
    }

    /**
     * Returns the address of the instance list.
     *
     * @return the URL of the instance list, never null
     */
    public URI listAddress() {
        return URI.create("http://127.0.0.1:" + list.getBindPort() + "/instances");
    }

    /**
     * Returns the address of the store.
     *
     * @return the base URL of the store, never null
     */
    public URI storeAddress() {
        return URI.create("http://127.0.0.1:" + store.getBindPort());
    }
}
