package org.lacewingstep.etcd;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.domain.ClaimOutcome;
import org.lacewingstep.domain.IdempotencyKey;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.error.RouterException;
import org.lacewingstep.error.Validate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;

/**
 * Executes effects on the etcd store and the instance list and posts their results as events. A failed claim or roster
 * write posts an event as well; every other failure is only logged.
 */
public final class EtcdAdapter {
    private static final int HTTP_OK = 200;
    private static final Logger LOGGER = LoggerFactory.getLogger(EtcdAdapter.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client;
    private final Supplier<Instant> clock;
    private final AtomicBoolean configurationReadInProgress = new AtomicBoolean();
    private final ConfigurationStore configurationStore;
    private final Consumer<Event> events;
    private final ExecController execController;
    private final URI instanceList;
    private final long leaseSeconds;
    private final Member self;
    private final StoreClient store;

    /**
     * Creates an adapter.
     *
     * @param self this process, not null
     * @param client the HTTP client, not null
     * @param storeAddress the store's address, not null
     * @param instanceList the address of the instance list, not null
     * @param leaseSeconds the time to live of this process's lease in seconds
     * @param clock supplies the current time, not null
     * @param events receives the events that report results, not null
     * @param execController runs the calls to the store and the instance list, not null
     */
    public EtcdAdapter(
            final Member self,
            final HttpClient client,
            final URI storeAddress,
            final URI instanceList,
            final long leaseSeconds,
            final Supplier<Instant> clock,
            final Consumer<Event> events,
            final ExecController execController) {
        this.self = self;
        this.client = client;
        this.store = new StoreClient(client, storeAddress);
        this.configurationStore = new ConfigurationStore(store);
        this.instanceList = instanceList;
        this.leaseSeconds = leaseSeconds;
        this.clock = clock;
        this.events = events;
        this.execController = execController;
    }

    /**
     * Claims an idempotency key unless another request holds it. After a lost response, reads the claim to determine
     * its holder.
     *
     * @param request the request, not null
     * @param team the team, not null
     * @param key the key, not null
     */
    public void claim(final RequestIdentifier request, final TeamName team, final IdempotencyKey key) {
        final String storeKey = StoreKeys.claimKey(team, key);
        final byte[] value = request.value().getBytes(StandardCharsets.UTF_8);
        execController
                .fork()
                .onError(failure -> {
                    LOGGER.atWarn()
                            .addKeyValue("request", request)
                            .addKeyValue("step", "claim")
                            .log("claiming the idempotency key failed: {}", failure.toString());
                    events.accept(new Event.ClaimCompleted(request, ClaimOutcome.UNKNOWN));
                })
                .start(started -> store.compareAndPut(storeKey, 0, value)
                        .flatMap(written ->
                                written.isPresent() ? Promise.value(ClaimOutcome.GRANTED) : readClaim(storeKey, value))
                        .flatMapError(failure -> readClaim(storeKey, value))
                        .then(outcome -> events.accept(new Event.ClaimCompleted(request, outcome))));
    }

    private Promise<ClaimOutcome> readClaim(final String storeKey, final byte[] value) {
        return store.read(storeKey).map(found -> {
            if (found.isEmpty()) {
                return ClaimOutcome.UNKNOWN;
            }
            final boolean ownClaim = Arrays.equals(found.get().value(), value);
            return ownClaim ? ClaimOutcome.GRANTED : ClaimOutcome.HELD_BY_ANOTHER;
        });
    }

    /**
     * Deletes the claim of a request that was not executed.
     *
     * @param request the request, not null
     * @param team the team, not null
     * @param key the key, not null
     */
    public void releaseClaim(final RequestIdentifier request, final TeamName team, final IdempotencyKey key) {
        final String storeKey = StoreKeys.claimKey(team, key);
        final byte[] value = request.value().getBytes(StandardCharsets.UTF_8);
        execute("releasing a claim", () -> store.read(storeKey), found -> {
            if (found.filter(stored -> Arrays.equals(stored.value(), value)).isPresent()) {
                store.delete(storeKey).then(deleted -> LOGGER.debug("released the idempotency claim of {}", request));
            }
        });
    }

    /**
     * Reads the configuration if it is newer than the current one. Does nothing while an earlier read is in progress.
     *
     * @param generation the generation of the current configuration
     */
    public void readConfiguration(final long generation) {
        if (!configurationReadInProgress.compareAndSet(false, true)) {
            return;
        }
        execController
                .fork()
                .onError(failure -> LOGGER.warn("reading the configuration failed: {}", failure.toString()))
                .onComplete(completed -> configurationReadInProgress.set(false))
                .start(started -> configurationStore.readHead().then(head -> readIfNewer(head, generation)));
    }

    private void readIfNewer(final Optional<ConfigurationStore.StoredHead> found, final long generation) {
        if (found.isEmpty()) {
            events.accept(new Event.ConfigurationRead(Optional.empty(), 0));
            return;
        }
        final ConfigurationStore.ConfigurationHead head = found.get().head();
        if (head.generation() <= generation) {
            events.accept(new Event.ConfigurationRead(Optional.empty(), head.generation()));
            return;
        }
        configurationStore
                .read(head)
                .then(configuration ->
                        events.accept(new Event.ConfigurationRead(Optional.of(configuration), head.generation())));
    }

    /** Starts three independent reads: the roster, the leases and the instance list. */
    public void readMembership() {
        final Instant requestedAt = clock.get();
        execute(
                "reading the roster",
                () -> store.read(StoreKeys.ROSTER),
                found -> events.accept(found.map(value ->
                                new Event.RosterRead(DocumentCodec.decodeRoster(value.value()), value.revision()))
                        .orElse(new Event.RosterRead(Roster.EMPTY, 0))));
        execute("reading the leases", () -> store.readAll(StoreKeys.LEASE_PREFIX), values -> {
            final Set<Incarnation> leased = new HashSet<>();
            values.forEach(value ->
                    addValid(leased, () -> Incarnation.parse(value.key().substring(StoreKeys.LEASE_PREFIX.length()))));
            events.accept(new Event.LeasesRead(leased, requestedAt));
        });
        execute(
                "reading the instance list",
                () -> client.get(instanceList).map(EtcdAdapter::parseInstanceList),
                listed -> events.accept(new Event.InstanceListRead(listed, requestedAt)));
    }

    /** Parses a list; another response must not read as a list without instances. */
    private static Set<Incarnation> parseInstanceList(final ReceivedResponse response) throws IOException {
        if (response.getStatusCode() != HTTP_OK) {
            throw new IOException("the instance list responded with status " + response.getStatusCode());
        }
        final JsonNode instances = MAPPER.readTree(response.getBody().getText()).path("instances");
        if (!instances.isArray()) {
            throw new IOException("the instance list's response has no instances");
        }
        final Set<Incarnation> listed = new HashSet<>();
        for (final JsonNode instance : instances) {
            addValid(listed, () -> decodeInstance(instance));
        }
        return listed;
    }

    private static Incarnation decodeInstance(final JsonNode instance) {
        final JsonNode number = instance.path("incarnation");
        Validate.isTrue(number.isIntegralNumber() && number.canConvertToLong(), "incarnation", "a number of 64 bits");
        return new Incarnation(new InstanceName(instance.path("name").asText()), number.asLong());
    }

    /** Adds a process that another one has listed; an invalid entry must not hide the others. */
    private static void addValid(final Set<Incarnation> processes, final Supplier<Incarnation> decode) {
        try {
            processes.add(decode.get());
        } catch (final RouterException failure) {
            LOGGER.atWarn()
                    .addKeyValue("step", "decode")
                    .log("skipped an invalid entry of the membership: {}", failure.getMessage());
        }
    }

    /**
     * Renews the lease of this process, or requests a new one.
     *
     * @param lease the identifier of the lease, zero to request a new one
     */
    public void renewLease(final long lease) {
        final Instant requestedAt = clock.get();
        if (lease == 0) {
            execute(
                    "asking for a lease",
                    this::grantLease,
                    granted -> events.accept(new Event.LeaseRenewed(granted, requestedAt)));
            return;
        }
        execute(
                "renewing the lease",
                () -> store.keepAlive(lease),
                alive -> events.accept(alive ? new Event.LeaseRenewed(lease, requestedAt) : new Event.LeaseLost()));
    }

    private Promise<Long> grantLease() {
        return store.grantLease(leaseSeconds)
                .flatMap(lease -> store.put(StoreKeys.leaseKey(self.incarnation()), new byte[] {'1'}, lease)
                        .map(revision -> lease));
    }

    /**
     * Writes the roster by compare-and-swap.
     *
     * @param roster the roster, not null
     * @param expectedRevision the store revision that the roster must still have, zero if it must not exist
     */
    public void writeRoster(final Roster roster, final long expectedRevision) {
        final Instant requestedAt = clock.get();
        final byte[] document = DocumentCodec.encode(roster);
        execController
                .fork()
                .onError(failure -> {
                    LOGGER.warn("writing the roster failed: {}", failure.toString());
                    events.accept(new Event.RosterWriteFailed());
                })
                .start(started -> store.compareAndPut(StoreKeys.ROSTER, expectedRevision, document)
                        .then(written -> events.accept(
                                written.<Event>map(revision -> new Event.RosterWritten(roster, revision, requestedAt))
                                        .orElse(new Event.RosterWriteFailed()))));
    }

    private <T> void execute(final String operation, final Supplier<Promise<T>> call, final Action<T> onResult) {
        execController
                .fork()
                .onError(failure -> LOGGER.warn("{} failed: {}", operation, failure.toString()))
                .start(started -> call.get().then(onResult));
    }
}
