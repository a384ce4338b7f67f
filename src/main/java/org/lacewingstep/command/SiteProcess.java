package org.lacewingstep.command;

import java.net.InetAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Identity;
import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.control.ControlThread;
import org.lacewingstep.control.DecisionLog;
import org.lacewingstep.control.MonotonicClock;
import org.lacewingstep.control.SiteEffects;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.peer.PeerNetwork;
import org.lacewingstep.platform.PlatformDialect;
import org.lacewingstep.platform.PlatformSettings;
import org.lacewingstep.platform.StoreAdapter;
import org.lacewingstep.traffic.CallDesk;
import org.lacewingstep.traffic.CallHandler;
import org.lacewingstep.traffic.CallMetrics;
import org.lacewingstep.traffic.OperatorHandlers;
import org.lacewingstep.traffic.UnexpectedErrors;
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

/** Puts the parts of an instance on a platform together and runs them. */
final class SiteProcess implements AutoCloseable {
    /** Longest time for the last answers to leave after the decision to stop. */
    private static final Duration LAST_ANSWERS = Duration.ofMillis(300);

    /** Connections of callers may stay idle for longer than callers use them again. */
    private static final Duration CALLER_IDLE = Duration.ofSeconds(60);

    private static final int LARGEST_HEAD_BYTES = 64 * 1024;
    private static final int LARGEST_LINE_BYTES = 16 * 1024;
    private static final Logger LOGGER = LoggerFactory.getLogger(SiteProcess.class);

    private final MonotonicClock clock = new MonotonicClock();
    private final ControlThread control;
    private final ExecController execution = new DefaultExecController(1);
    private final CountDownLatch closed = new CountDownLatch(1);
    private final HttpClient client = HttpClients.create(execution);
    private final MetricRegistry metrics = new MetricRegistry();
    private final int metricsPort;
    private final PeerNetwork peers;
    private final PlatformSettings settings;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final SettingsWatch watch;

    private RatpackServer callerServer;
    private SiteEffects effects;
    private RatpackServer metricsServer;
    private RatpackServer readyServer;

    /**
     * Creates the parts.
     *
     * @param file the platform's settings file, not null
     * @param metricsPort the port of metrics and state dump
     */
    SiteProcess(final Path file, final int metricsPort) {
        this.metricsPort = metricsPort;
        this.settings = PlatformSettings.read(file);
        this.watch = new SettingsWatch(file, changed -> post(new Event.SiteReloaded(changed.policy())));
        final Incarnation incarnation = new Incarnation(settings.policy().instance(), System.currentTimeMillis());
        final Member self = new Member(
                incarnation, settings.peerAddress(), settings.policy().failureDomain());
        this.peers = new PeerNetwork(incarnation, settings.peerAddress(), this::post, metrics);
        this.control =
                new ControlThread(Blackboard.initial(new Identity(self, Policy.DEFAULT)), clock, this::handle, metrics);
    }

    /** Waits until the process may exit. */
    void awaitStop() throws InterruptedException {
        stopped.await();
    }

    @Override
    public void close() throws Exception {
        watch.close();
        control.stop();
        peers.close();
        stopped.countDown();
        callerServer.stop();
        readyServer.stop();
        metricsServer.stop();
        client.close();
        execution.close();
        LOGGER.atInfo().addKeyValue("step", "stop").log("stopped");
        closed.countDown();
    }

    /** Starts everything. */
    void start() throws Exception {
        // First, since SIGHUP ends a process that does not handle it.
        watch.start();
        final CallDesk desk = new CallDesk(
                new PlatformDialect(),
                new UpstreamPools(TransportDetector.getSocketChannelImpl()),
                clock::now,
                control::post,
                () -> !control.board().lifecycle().isReady(),
                new CallMetrics(metrics));
        metrics.gauge("calls.open", () -> desk::size);
        effects = new SiteEffects(
                desk,
                new StoreAdapter(client, settings.storeAddress(), clock::now, control::post, execution),
                peers,
                new DecisionLog(),
                stopped::countDown);
        peers.start();
        control.start(new Event.SiteConfigured(settings.policy(), settings.firstStart()));
        callerServer = serve(settings.callerAddress(), chain -> chain.all(new CallHandler(desk, this::bodyBytes)));
        final OperatorHandlers operators = new OperatorHandlers(control::board, metrics);
        readyServer = serve(settings.readyAddress(), operators);
        metricsServer = serve(new PeerAddress(settings.callerAddress().host(), metricsPort), operators);
        Runtime.getRuntime().addShutdownHook(new Thread(this::drain, "drain"));
        LOGGER.atInfo()
                .addKeyValue("step", "start")
                .addKeyValue("instance", settings.policy().instance())
                .addKeyValue("first_start", settings.firstStart())
                .log("started for callers at {}", settings.callerAddress());
    }

    private int bodyBytes() {
        return control.board().serving().routing().table().limits().bodyBytes();
    }

    private void drain() {
        LOGGER.atInfo().addKeyValue("step", "stop").log("stopping");
        control.post(new Event.ShutdownRequested());
        try {
            stopped.await();
            if (!closed.await(LAST_ANSWERS.toMillis(), TimeUnit.MILLISECONDS)) {
                LOGGER.warn("exiting before all connections were closed");
            }
        } catch (final InterruptedException interruption) {
            LOGGER.warn("interrupted while finishing requests");
        }
    }

    private void post(final Event event) {
        control.post(event);
    }

    private void handle(final Effect effect) {
        effects.handle(effect);
    }

    private static RatpackServer serve(final PeerAddress address, final Action<Chain> chain) throws Exception {
        return RatpackServer.start(server -> server.serverConfig(config -> config.port(address.port())
                        .address(InetAddress.getByName(address.host()))
                        .threads(1)
                        .idleTimeout(CALLER_IDLE)
                        .maxHeaderSize(LARGEST_HEAD_BYTES)
                        .maxInitialLineLength(LARGEST_LINE_BYTES)
                        .registerShutdownHook(false)
                        .development(false))
                .registryOf(registry -> registry.add(ServerErrorHandler.class, new UnexpectedErrors()))
                .handlers(chain));
    }
}
