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
import org.lacewingstep.control.EffectDispatcher;
import org.lacewingstep.control.MonotonicClock;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.etcd.PlatformAdapter;
import org.lacewingstep.peer.PeerNetwork;
import org.lacewingstep.settings.InstanceSettings;
import org.lacewingstep.traffic.CompletionHandler;
import org.lacewingstep.traffic.InstructionRouter;
import org.lacewingstep.traffic.OperatorHandlers;
import org.lacewingstep.traffic.PlainHandler;
import org.lacewingstep.traffic.RequestDesk;
import org.lacewingstep.traffic.TrafficLimits;
import org.lacewingstep.traffic.UnexpectedErrors;
import org.lacewingstep.upstream.LoadAdapter;
import org.lacewingstep.upstream.UpstreamClient;
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

/** Puts the parts of an instance together and runs them. */
final class RouterProcess implements AutoCloseable {
    private static final Duration LAST_ANSWERS = Duration.ofSeconds(10);
    private static final Logger LOGGER = LoggerFactory.getLogger(RouterProcess.class);

    private final MonotonicClock clock = new MonotonicClock();
    private final ControlThread control;
    private final ExecController execution;
    private final HttpClient client;
    private final InstructionRouter instructions = new InstructionRouter();
    private final MetricRegistry metrics = new MetricRegistry();
    private final PeerNetwork peers;
    private final Member self;
    private final InstanceSettings settings;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final UpstreamClient upstreamClient;

    private EffectDispatcher dispatcher;
    private RatpackServer callerServer;
    private RatpackServer operatorServer;

    /**
     * Creates the parts and binds the peer address.
     *
     * @param settings the settings, not null
     */
    RouterProcess(final InstanceSettings settings) {
        this.settings = settings;
        final Incarnation incarnation = new Incarnation(settings.name(), System.currentTimeMillis());
        this.self = new Member(incarnation, settings.peerAddress(), settings.failureDomain());
        this.execution = new DefaultExecController(Runtime.getRuntime().availableProcessors());
        this.client = HttpClients.create(execution);
        final Blackboard board = Blackboard.initial(new Identity(self, settings.policy()));
        this.control = new ControlThread(board, clock, this::handle, metrics);
        this.peers = new PeerNetwork(incarnation, settings.peerAddress(), control::post, metrics);
        this.upstreamClient = new UpstreamClient(client, incarnation, settings.upstreamSilenceLimit());
        metrics.gauge("requests.open", () -> instructions::size);
    }

    /** Waits until the process may exit. */
    void awaitStop() throws InterruptedException {
        stopped.await();
    }

    @Override
    public void close() throws Exception {
        control.stop();
        stopped.countDown();
        peers.close();
        callerServer.stop();
        operatorServer.stop();
        client.close();
        execution.close();
        LOGGER.info("stopped");
    }

    /** Starts everything. */
    void start() throws Exception {
        dispatcher = new EffectDispatcher(
                instructions,
                peers,
                createPlatform(),
                new LoadAdapter(upstreamClient, control::post, execution),
                stopped::countDown);
        peers.start();
        final Duration idle = settings.callerIdleLimit().multipliedBy(2);
        callerServer = serve(settings.callerAddress(), idle, this::callerChain);
        operatorServer = serve(settings.operatorAddress(), idle, new OperatorHandlers(control::board, metrics));
        Runtime.getRuntime().addShutdownHook(new Thread(this::drain, "drain"));
        control.start(new Event.Started());
        LOGGER.atInfo()
                .addKeyValue("step", "start")
                .log("started {} for callers at {}", self.incarnation(), settings.callerAddress());
    }

    private PlatformAdapter createPlatform() {
        return new PlatformAdapter(
                self,
                client,
                settings.store(),
                settings.instanceList(),
                settings.policy().leaseDuration().toSeconds(),
                clock::now,
                control::post,
                execution);
    }

    private void callerChain(final Chain chain) {
        final Duration timeLimit = settings.policy().requestLimit();
        final TrafficLimits limits = new TrafficLimits(
                settings.bodyBytes(), settings.bytesPerToken(), settings.callerIdleLimit(), timeLimit.multipliedBy(2));
        final UpstreamPools pools = new UpstreamPools(TransportDetector.getSocketChannelImpl());
        final RequestDesk desk = new RequestDesk(
                self.incarnation(), instructions, clock::now, timeLimit, this::findUpstream, control::post);
        chain.post("v1/completions", new CompletionHandler(desk, upstreamClient, limits))
                .all(new PlainHandler(desk, pools, limits, settings.upstreamSilenceLimit()));
    }

    private void drain() {
        control.post(new Event.ShutdownRequested());
        try {
            stopped.await();
            instructions.awaitEmpty(LAST_ANSWERS);
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

    private static RatpackServer serve(final PeerAddress address, final Duration idleLimit, final Action<Chain> chain)
            throws Exception {
        return RatpackServer.start(server -> server.serverConfig(config -> config.port(address.port())
                        .address(InetAddress.getByName(address.host()))
                        .idleTimeout(idleLimit)
                        .registerShutdownHook(false)
                        .development(false))
                .registryOf(registry -> registry.add(ServerErrorHandler.class, new UnexpectedErrors()))
                .handlers(chain));
    }
}
