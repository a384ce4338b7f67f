package org.lacewingstep.standin;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;
import ratpack.server.RatpackServer;

/** Runs one stand-in as a process: store, list, engine or plain. */
public final class StandInMain {
    private static final int CHECK_MILLISECONDS = 500;

    private StandInMain() {}

    /**
     * Runs a stand-in until the process is ended.
     *
     * @param arguments the kind, the port, and what the kind needs; not null
     */
    public static void main(final String... arguments) throws Exception {
        final int port = Integer.parseInt(arguments[1]);
        final List<String> rest = Arrays.asList(arguments).subList(2, arguments.length);
        switch (arguments[0]) {
            case "store" -> StandInServer.start(port, new StoreStandIn());
            case "list" -> startList(port, rest);
            case "engine" ->
                StandInServer.start(
                        port,
                        new EngineStandIn(
                                Integer.parseInt(rest.get(0)),
                                Long.parseLong(rest.get(1)),
                                Long.parseLong(rest.get(2))));
            case "plain" -> StandInServer.start(port, new PlainStandIn());
            default -> throw new IllegalArgumentException("unknown stand-in " + arguments[0]);
        }
    }

    /** Starts a list that checks the liveness of instances. */
    static RatpackServer startList(final int port, final List<String> addresses) throws Exception {
        final InstanceListStandIn list = new InstanceListStandIn(addresses);
        final RatpackServer server = StandInServer.start(port, list);
        final ExecController execution = server.getRegistry().orElseThrow().get(ExecController.class);
        final HttpClient client = HttpClient.of(spec -> spec.execController(execution)
                .poolSize(0)
                .connectTimeout(Duration.ofMillis(CHECK_MILLISECONDS))
                .readTimeout(Duration.ofMillis(CHECK_MILLISECONDS)));
        execution
                .getExecutor()
                .scheduleWithFixedDelay(
                        () -> list.check(client, execution), 0, CHECK_MILLISECONDS, TimeUnit.MILLISECONDS);
        return server;
    }
}
