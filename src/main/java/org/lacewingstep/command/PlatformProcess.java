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
import org.lacewingstep.control.PlatformEffectDispatcher;
import org.lacewingstep.controller.UpstreamAvailability;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.peer.PeerNetwork;
import org.lacewingstep.platform.PlatformProtocol;
import org.lacewingstep.platform.PlatformSettings;
import org.lacewingstep.platform.PlatformStoreAdapter;
import org.lacewingstep.platform.UpstreamOrderAdapter;
import org.lacewingstep.traffic.CallHandler;
import org.lacewingstep.traffic.CallMetrics;
import org.lacewingstep.traffic.OpenCalls;
import org.lacewingstep.traffic.OperatorHandlers;
import org.lacewingstep.traffic.UnexpectedErrors;
import org.lacewingstep.traffic.UpstreamChecks;
import org.lacewingstep.upstream.BufferBudget;
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

/** Wires up an instance started by {@code join} and runs its control thread, servers and peer network. */
final class PlatformProcess implements AutoCloseable {
    /** Longest wait for the last responses to be sent after the control thread has allowed the process to exit. */
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofMillis(300);

    /** Idle timeout of accepted connections, longer than the time for which callers reuse an idle connection. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_REQUEST_LINE_BYTES = 16 * 1024;
    private static final Logger LOGGER = LoggerFactory.getLogger(PlatformProcess.class);

    private final MonotonicClock clock = new MonotonicClock();
    private final ControlThread control;
    private final ExecController execController = new DefaultExecController(1);
    private final CountDownLatch closed = new CountDownLatch(1);
    private final HttpClient client = HttpClients.create(execController);
    private final MetricRegistry metrics = new MetricRegistry();
    private final int metricsPort;
    private final PeerNetwork peers;
    private final PlatformSettings settings;
    private final CountDownLatch exitAllowed = new CountDownLatch(1);
    private final SettingsWatch settingsWatch;

    private RatpackServer callerServer;
    private PlatformEffectDispatcher dispatcher;
    private RatpackServer metricsServer;
    private RatpackServer readyServer;

    /**
     * Reads the settings and creates the control thread and the peer network.
     *
     * @param settingsFile the settings file of the platform, not null
     * @param metricsPort the port that serves the metrics and the state dump
     */
    PlatformProcess(final Path settingsFile, final int metricsPort) {
        this.metricsPort = metricsPort;
        this.settings = PlatformSettings.read(settingsFile);
        this.settingsWatch =
                new SettingsWatch(settingsFile, reloaded -> post(new Event.SiteReloaded(reloaded.policy())));
        final Incarnation incarnation = new Incarnation(settings.policy().instance(), System.currentTimeMillis());
        final Member self = new Member(
                incarnation, settings.peerAddress(), settings.policy().failureDomain());
        this.peers = new PeerNetwork(incarnation, settings.peerAddress(), this::post, metrics);
        this.control =
                new ControlThread(Blackboard.initial(new Identity(self, Policy.DEFAULT)), clock, this::handle, metrics);
    }

    private void logContracts() {
        LOGGER.atInfo()
                .addKeyValue("in_force", settings.contracts().inForce())
                .addKeyValue("not_in_force", settings.contracts().notInForce())
                .addKeyValue("unknown", settings.contracts().unknown())
                .log("contracts of the site");
    }

    /** Starts the planned stop: the control thread finishes the requests and then allows the process to exit. */
    void requestStop() {
        control.post(new Event.ShutdownRequested());
    }

    /** Waits until the control thread allows the process to exit. */
    void awaitExitAllowed() throws InterruptedException {
        exitAllowed.await();
    }

    @Override
    public void close() throws Exception {
        settingsWatch.close();
        control.stop();
        peers.close();
        exitAllowed.countDown();
        callerServer.stop();
        readyServer.stop();
        metricsServer.stop();
        client.close();
        execController.close();
        LOGGER.atInfo().addKeyValue("step", "stop").log("stopped");
        closed.countDown();
    }

    /** Starts the peer network, the control thread and the servers, and registers the shutdown hook. */
    void start() throws Exception {
        // The watch starts first: until its handler is installed, SIGHUP would terminate the process.
        settingsWatch.start();
        logContracts();
        final BufferBudget budget = BufferBudget.ofProcess();
        metrics.gauge("bodies.bytes", () -> budget::reservedBytes);
        final OpenCalls openCalls = new OpenCalls(
                new PlatformProtocol(),
                new UpstreamPools(TransportDetector.getSocketChannelImpl(), budget),
                clock::now,
                control::post,
                () -> !control.board().lifecycle().isReady(),
                new UpstreamChecks(
                        upstream -> UpstreamAvailability.acceptsRequests(control.board(), upstream, clock.now()),
                        upstream -> UpstreamAvailability.isLimited(control.board(), upstream)),
                new CallMetrics(metrics));
        metrics.gauge("calls.open", () -> openCalls::size);
        metrics.gauge(
                "prompts.quarantined",
                () -> () -> control.board().serving().prompts().quarantinedParts());
        metrics.gauge(
                "upstreams.leaving",
                () -> () -> control.board().serving().notices().leavingUpstreams());
        metrics.gauge(
                "upstreams.paused",
                () -> () -> control.board().serving().notices().pausedUpstreams(clock.now()));
        metrics.gauge(
                "upstreams.limited",
                () -> () -> control.board().serving().notices().limitedUpstreams());
        metrics.gauge(
                "prompts.kept.hits",
                () -> () -> control.board().serving().learned().keptPrompts().hits());
        metrics.gauge(
                "prompts.kept.wrong_estimates",
                () -> () -> control.board().serving().learned().keptPrompts().wrongEstimates());
        metrics.gauge(
                "prompts.kept.saved_tokens",
                () -> () -> control.board().serving().learned().keptPrompts().savedTokens());
        metrics.gauge("process.processor_ms", () -> PlatformProcess::processorMillis);
        dispatcher = new PlatformEffectDispatcher(
                openCalls,
                new PlatformStoreAdapter(client, settings.storeAddress(), clock::now, control::post, execController),
                new UpstreamOrderAdapter(client, execController),
                peers,
                new DecisionLog(),
                exitAllowed::countDown);
        peers.start();
        control.start(new Event.SiteConfigured(settings.policy(), settings.firstStart()));
        callerServer = startServer(
                settings.callerAddress(), chain -> chain.all(new CallHandler(openCalls, this::maxBodyBytes, budget)));
        final OperatorHandlers operatorHandlers = new OperatorHandlers(control::board, metrics);
        readyServer = startServer(settings.readyAddress(), operatorHandlers);
        metricsServer = startServer(new PeerAddress(settings.callerAddress().host(), metricsPort), operatorHandlers);
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "drain"));
        LOGGER.atInfo()
                .addKeyValue("step", "start")
                .addKeyValue("instance", settings.policy().instance())
                .addKeyValue("first_start", settings.firstStart())
                .addKeyValue("processor_ms", processorMillis())
                .log("started for callers at {}", settings.callerAddress());
    }

    /** Returns the processor time of this process since its start, -1 if the system does not report it. */
    private static long processorMillis() {
        return ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(Duration::toMillis)
                .orElse(-1L);
    }

    private int maxBodyBytes() {
        return control.board().serving().routing().table().limits().bodyBytes();
    }

    private void shutDown() {
        LOGGER.atInfo().addKeyValue("step", "stop").log("stopping");
        requestStop();
        try {
            exitAllowed.await();
            if (!closed.await(SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
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
        dispatcher.handle(effect);
    }

    private static RatpackServer startServer(final PeerAddress address, final Action<Chain> chain) throws Exception {
        return RatpackServer.start(server -> server.serverConfig(config -> config.port(address.port())
                        .address(InetAddress.getByName(address.host()))
                        .threads(1)
                        .idleTimeout(IDLE_TIMEOUT)
                        .maxHeaderSize(MAX_HEADER_BYTES)
                        .maxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .registerShutdownHook(false)
                        .development(false))
                .registryOf(registry -> registry.add(ServerErrorHandler.class, new UnexpectedErrors()))
                .handlers(chain));
    }
}
