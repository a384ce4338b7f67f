package org.lacewingstep.standin;

import java.net.InetAddress;

import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.server.RatpackServer;

/** Starts the HTTP server of a stand-in on the loopback address. */
final class StandInServer {
    private static final String LOOPBACK = "127.0.0.1";

    private StandInServer() {}

    /**
     * Starts a server on the loopback address.
     *
     * @param port the TCP port, zero to choose a free port
     * @param chain registers the request handlers, not null
     * @return the running server, never null
     */
    static RatpackServer start(final int port, final Action<Chain> chain) throws Exception {
        return RatpackServer.start(server -> server.serverConfig(config -> config.port(port)
                        .address(InetAddress.getByName(LOOPBACK))
                        .threads(2)
                        .registerShutdownHook(false)
                        .development(false))
                .handlers(chain));
    }
}
