package org.lacewingstep.command;

import java.net.InetAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import com.codahale.metrics.MetricRegistry;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Identity;
import org.lacewingstep.control.ControlThread;
import org.lacewingstep.control.EtcdEffectDispatcher;
import org.lacewingstep.control.MonotonicClock;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.etcd.EtcdAdapter;
import org.lacewingstep.peer.PeerNetwork;
import org.lacewingstep.settings.InstanceSettings;
import org.lacewingstep.traffic.CompletionHandler;
import org.lacewingstep.traffic.InstructionRouter;
import org.lacewingstep.traffic.OpenRequests;
import org.lacewingstep.traffic.OperatorHandlers;
import org.lacewingstep.traffic.PlainHandler;
import org.lacewingstep.traffic.TrafficLimits;
import org.lacewingstep.traffic.UnexpectedErrors;
import org.lacewingstep.upstream.BufferBudget;
import org.lacewingstep.upstream.EngineClient;
import org.lacewingstep.upstream.UpstreamAdapter;
import org.lacewingstep.upstream.UpstreamPools;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.error.ServerErrorHandler;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.http.client.HttpClient;
import ratpack.server.RatpackServer;
import ratpack.util.internal.TransportDetector;

/** Wires up an instance started by {@code serve} and runs its control thread, servers and peer network. */
final class StandaloneProcess implements AutoCloseable {
    /** Longest wait for open requests after the control thread has allowed the process to exit. */
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(10);

    private static final Logger LOGGER = LoggerFactory.getLogger(StandaloneProcess.class);

    private final MonotonicClock clock = new MonotonicClock();
    private final ControlThread control;
    private final ExecController execController;
    private final HttpClient client;
    private final InstructionRouter instructions = new InstructionRouter();
    private final MetricRegistry metrics = new MetricRegistry();
    private final PeerNetwork peers;
    private final Member self;
    private final InstanceSettings settings;
    private final CountDownLatch exitAllowed = new CountDownLatch(1);
    private final EngineClient engineClient;

    private EtcdEffectDispatcher dispatcher;
    private RatpackServer callerServer;
    private RatpackServer operatorServer;

    /**
     * Creates the control thread and the clients, and binds the peer address.
     *
     * @param settings the settings of the instance, not null
     */
    StandaloneProcess(final InstanceSettings settings) {
        this.settings = settings;
        final Incarnation incarnation = new Incarnation(settings.name(), System.currentTimeMillis());
        this.self = new Member(incarnation, settings.peerAddress(), settings.failureDomain());
        this.execController = new DefaultExecController(Runtime.getRuntime().availableProcessors());
        this.client = HttpClients.create(execController);
        final Blackboard board = Blackboard.initial(new Identity(self, settings.policy()));
        this.control = new ControlThread(board, clock, this::handle, metrics);
        this.peers = new PeerNetwork(incarnation, settings.peerAddress(), control::post, metrics);
        this.engineClient = new EngineClient(client, incarnation, settings.upstreamTimeout());
        metrics.gauge("requests.open", () -> instructions::size);
    }

    /** Waits until the control thread allows the process to exit. */
    void awaitExitAllowed() throws InterruptedException {
        exitAllowed.await();
    }

    @Override
    public void close() throws Exception {
        control.stop();
        exitAllowed.countDown();
        peers.close();
        callerServer.stop();
        operatorServer.stop();
        client.close();
        execController.close();
        LOGGER.info("stopped");
    }

    /** Starts the peer network, the servers and the control thread, and registers the shutdown hook. */
    void start() throws Exception {
        dispatcher = new EtcdEffectDispatcher(
                instructions,
                peers,
                createEtcdAdapter(),
                new UpstreamAdapter(engineClient, control::post, execController),
                exitAllowed::countDown);
        peers.start();
        final Duration idle = settings.callerIdleTimeout().multipliedBy(2);
        callerServer = startServer(settings.callerAddress(), idle, this::addCallerHandlers);
        operatorServer = startServer(settings.operatorAddress(), idle, new OperatorHandlers(control::board, metrics));
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "drain"));
        control.start(new Event.Started());
        LOGGER.atInfo()
                .addKeyValue("step", "start")
                .log("started {} for callers at {}", self.incarnation(), settings.callerAddress());
    }

    private EtcdAdapter createEtcdAdapter() {
        return new EtcdAdapter(
                self,
                client,
                settings.store(),
                settings.instanceList(),
                settings.policy().leaseDuration().toSeconds(),
                clock::now,
                control::post,
                execController);
    }

    private void addCallerHandlers(final Chain chain) {
        final Duration timeLimit = settings.policy().requestLimit();
        final TrafficLimits limits = new TrafficLimits(
                settings.bodyBytes(),
                settings.bytesPerToken(),
                settings.callerIdleTimeout(),
                timeLimit.multipliedBy(2));
        final UpstreamPools pools =
                new UpstreamPools(TransportDetector.getSocketChannelImpl(), BufferBudget.ofProcess());
        final OpenRequests openRequests = new OpenRequests(
                self.incarnation(), instructions, clock::now, timeLimit, this::findUpstream, control::post);
        chain.post("v1/completions", new CompletionHandler(openRequests, engineClient, limits))
                .all(new PlainHandler(openRequests, pools, limits, settings.upstreamTimeout()));
    }

    private void shutDown() {
        control.post(new Event.ShutdownRequested());
        try {
            exitAllowed.await();
            instructions.awaitEmpty(SHUTDOWN_TIMEOUT);
        } catch (final InterruptedException interruption) {
            LOGGER.warn("interrupted while finishing requests");
        }
    }

    private Optional<Upstream> findUpstream(final UpstreamName name) {
        return Optional.ofNullable(
                control.board().configuration().inForce().upstreams().get(name));
    }

    private void handle(final Effect effect) {
        dispatcher.handle(effect);
    }

    private static RatpackServer startServer(
            final PeerAddress address, final Duration idleLimit, final Action<Chain> chain) throws Exception {
        return RatpackServer.start(server -> server.serverConfig(config -> config.port(address.port())
                        .address(InetAddress.getByName(address.host()))
                        .idleTimeout(idleLimit)
                        .registerShutdownHook(false)
                        .development(false))
                .registryOf(registry -> registry.add(ServerErrorHandler.class, new UnexpectedErrors()))
                .handlers(chain));
    }
}
