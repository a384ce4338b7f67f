package org.lacewingstep.standin;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;
import ratpack.server.RatpackServer;

/** Runs one stand-in in this process: store, list, engine or plain. */
public final class StandInMain {
    private static final int CHECK_MILLISECONDS = 500;

    private StandInMain() {}

    /**
     * Runs a stand-in until the process is terminated.
     *
     * @param arguments the kind of stand-in, the port, and the parameters of this kind; not null
     */
    public static void main(final String... arguments) throws Exception {
        final int port = Integer.parseInt(arguments[1]);
        final List<String> parameters = Arrays.asList(arguments).subList(2, arguments.length);
        switch (arguments[0]) {
            case "store" -> StandInServer.start(port, new EtcdStandIn());
            case "list" -> startList(port, parameters);
            case "engine" ->
                StandInServer.start(
                        port,
                        new EngineStandIn(
                                Integer.parseInt(parameters.get(0)),
                                Long.parseLong(parameters.get(1)),
                                Long.parseLong(parameters.get(2))));
            case "plain" -> StandInServer.start(port, new PlainStandIn());
            default -> throw new IllegalArgumentException("unknown stand-in " + arguments[0]);
        }
    }

    /** Starts an instance list that checks the liveness of the given operator addresses periodically. */
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
                        () -> list.checkInstances(client, execution), 0, CHECK_MILLISECONDS, TimeUnit.MILLISECONDS);
        return server;
    }
}
