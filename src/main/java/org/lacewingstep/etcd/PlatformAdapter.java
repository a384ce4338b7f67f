package org.lacewingstep.etcd;

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
import org.lacewingstep.domain.IdempotencyKey;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.TeamName;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.http.client.HttpClient;

/** Carries out effects at the platform and turns its answers into events; a failure is only logged. */
public final class PlatformAdapter {
    private static final Logger LOGGER = LoggerFactory.getLogger(PlatformAdapter.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client;
    private final Supplier<Instant> clock;
    private final ConfigurationStore configurations;
    private final Consumer<Event> events;
    private final ExecController execution;
    private final URI instanceList;
    private final long leaseSeconds;
    private final AtomicBoolean readingConfiguration = new AtomicBoolean();
    private final Member self;
    private final StoreClient store;

    /**
     * Creates an adapter.
     *
     * @param self this process, not null
     * @param client the HTTP client, not null
     * @param storeAddress the store's address, not null
     * @param instanceList the address of the instance list, not null
     * @param leaseSeconds the life of the lease in seconds
     * @param clock tells the present time, not null
     * @param events receives what the platform answers, not null
     * @param execution runs the calls, not null
     */
    public PlatformAdapter(
            final Member self,
            final HttpClient client,
            final URI storeAddress,
            final URI instanceList,
            final long leaseSeconds,
            final Supplier<Instant> clock,
            final Consumer<Event> events,
            final ExecController execution) {
        this.self = self;
        this.client = client;
        this.store = new StoreClient(client, storeAddress);
        this.configurations = new ConfigurationStore(store);
        this.instanceList = instanceList;
        this.leaseSeconds = leaseSeconds;
        this.clock = clock;
        this.events = events;
        this.execution = execution;
    }

    /**
     * Claims an idempotency key if nobody has; a lost answer is resolved by reading the claim.
     *
     * @param request the request, not null
     * @param team the team, not null
     * @param key the key, not null
     */
    public void claim(final RequestIdentifier request, final TeamName team, final IdempotencyKey key) {
        final String name = StoreKeys.claim(team, key);
        final byte[] value = request.value().getBytes(StandardCharsets.UTF_8);
        execution
                .fork()
                .onError(failure -> {
                    LOGGER.atWarn()
                            .addKeyValue("request", request)
                            .addKeyValue("step", "claim")
                            .log("claiming failed: {}", failure.toString());
                    events.accept(new Event.ClaimAnswered(request, Event.ClaimOutcome.UNKNOWN));
                })
                .start(started -> store.compareAndPut(name, 0, value)
                        .flatMap(written -> written.isPresent()
                                ? Promise.value(Event.ClaimOutcome.GRANTED)
                                : readClaim(name, value))
                        .flatMapError(failure -> readClaim(name, value))
                        .then(outcome -> events.accept(new Event.ClaimAnswered(request, outcome))));
    }

    private Promise<Event.ClaimOutcome> readClaim(final String name, final byte[] value) {
        return store.read(name).map(found -> {
            if (found.isEmpty()) {
                return Event.ClaimOutcome.UNKNOWN;
            }
            final boolean own = Arrays.equals(found.get().value(), value);
            return own ? Event.ClaimOutcome.GRANTED : Event.ClaimOutcome.HELD_BY_ANOTHER;
        });
    }

    /**
     * Deletes the claim of a request that was not run.
     *
     * @param request the request, not null
     * @param team the team, not null
     * @param key the key, not null
     */
    public void releaseClaim(final RequestIdentifier request, final TeamName team, final IdempotencyKey key) {
        final String name = StoreKeys.claim(team, key);
        final byte[] value = request.value().getBytes(StandardCharsets.UTF_8);
        run("releasing a claim", () -> store.read(name), found -> {
            if (found.filter(stored -> Arrays.equals(stored.value(), value)).isPresent()) {
                store.delete(name).then(deleted -> LOGGER.debug("released the claim of {}", request));
            }
        });
    }

    /**
     * Reads the configuration if it is newer than the one in force; one reading runs at a time.
     *
     * @param generation the generation in force
     */
    public void readConfiguration(final long generation) {
        if (!readingConfiguration.compareAndSet(false, true)) {
            return;
        }
        execution
                .fork()
                .onError(failure -> LOGGER.warn("reading the configuration failed: {}", failure.toString()))
                .onComplete(ended -> readingConfiguration.set(false))
                .start(started -> configurations.readHead().then(head -> compare(head, generation)));
    }

    private void compare(final Optional<ConfigurationStore.StoredHead> found, final long generation) {
        if (found.isEmpty()) {
            events.accept(new Event.ConfigurationRead(Optional.empty(), 0));
            return;
        }
        final ConfigurationStore.ConfigurationHead head = found.get().head();
        if (head.generation() <= generation) {
            events.accept(new Event.ConfigurationRead(Optional.empty(), head.generation()));
            return;
        }
        configurations
                .read(head)
                .then(configuration ->
                        events.accept(new Event.ConfigurationRead(Optional.of(configuration), head.generation())));
    }

    /** Reads the roster, the leases and the instance list, each on its own. */
    public void readPlatform() {
        final Instant askedAt = clock.get();
        run(
                "reading the roster",
                () -> store.read(StoreKeys.ROSTER),
                found -> events.accept(found.map(value ->
                                new Event.RosterRead(DocumentCodec.decodeRoster(value.value()), value.revision()))
                        .orElse(new Event.RosterRead(Roster.EMPTY, 0))));
        run("reading the leases", () -> store.readAll(StoreKeys.LEASES), values -> {
            final Set<Incarnation> leased = new HashSet<>();
            values.forEach(value -> leased.add(Incarnation.parse(value.key().substring(StoreKeys.LEASES.length()))));
            events.accept(new Event.LeasesRead(leased, askedAt));
        });
        run(
                "reading the instance list",
                () -> client.get(instanceList).map(answer -> answer.getBody().getText()),
                text -> events.accept(new Event.InstanceListRead(instances(MAPPER.readTree(text)), askedAt)));
    }

    private static Set<Incarnation> instances(final JsonNode list) {
        final Set<Incarnation> listed = new HashSet<>();
        for (final JsonNode instance : list.path("instances")) {
            final InstanceName name = new InstanceName(instance.path("name").asText());
            listed.add(new Incarnation(name, instance.path("incarnation").asLong()));
        }
        return listed;
    }

    /**
     * Renews the lease, or asks for a new one.
     *
     * @param lease the lease, zero for a new one
     */
    public void renewLease(final long lease) {
        final Instant askedAt = clock.get();
        if (lease == 0) {
            run(
                    "asking for a lease",
                    this::newLease,
                    granted -> events.accept(new Event.LeaseRenewed(granted, askedAt)));
            return;
        }
        run(
                "renewing the lease",
                () -> store.keepAlive(lease),
                alive -> events.accept(alive ? new Event.LeaseRenewed(lease, askedAt) : new Event.LeaseLost()));
    }

    private Promise<Long> newLease() {
        return store.grantLease(leaseSeconds)
                .flatMap(lease -> store.put(StoreKeys.lease(self.incarnation()), new byte[] {'1'}, lease)
                        .map(revision -> lease));
    }

    /**
     * Writes the roster by compare-and-swap.
     *
     * @param roster the roster, not null
     * @param expectedRevision the revision that must be in the store, zero for none
     */
    public void writeRoster(final Roster roster, final long expectedRevision) {
        final Instant askedAt = clock.get();
        final byte[] document = DocumentCodec.encode(roster);
        execution
                .fork()
                .onError(failure -> {
                    LOGGER.warn("writing the roster failed: {}", failure.toString());
                    events.accept(new Event.RosterWriteFailed());
                })
                .start(started -> store.compareAndPut(StoreKeys.ROSTER, expectedRevision, document)
                        .then(written -> events.accept(
                                written.<Event>map(revision -> new Event.RosterWritten(roster, revision, askedAt))
                                        .orElse(new Event.RosterWriteFailed()))));
    }

    private <T> void run(final String step, final Supplier<Promise<T>> call, final Action<T> then) {
        execution
                .fork()
                .onError(failure -> LOGGER.warn("{} failed: {}", step, failure.toString()))
                .start(started -> call.get().then(then));
    }
}
