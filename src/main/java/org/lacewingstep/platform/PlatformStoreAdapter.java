package org.lacewingstep.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.RolloutOccurrence;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RolePlan;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.platform.PlatformStoreClient.StoreResponse;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.http.client.HttpClient;

/** Runs the controllers' effects on the platform's store and posts the results as events. */
public final class PlatformStoreAdapter {
    private static final int HTTP_GONE = 410;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int HTTP_OK = 200;
    private static final int HTTP_PRECONDITION_FAILED = 412;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TRANSACTION_PATH = "/kv-txn";

    private final Supplier<Instant> clock;
    private final Consumer<Event> events;
    private final ExecController execution;
    private final PlatformStoreClient store;

    /**
     * Creates an adapter.
     *
     * @param httpClient the HTTP client, not null
     * @param address the store's address, not null
     * @param clock supplies the present time, not null
     * @param events receives the results, not null
     * @param execution runs the calls, not null
     */
    public PlatformStoreAdapter(
            final HttpClient httpClient,
            final PeerAddress address,
            final Supplier<Instant> clock,
            final Consumer<Event> events,
            final ExecController execution) {
        this.store = new PlatformStoreClient(httpClient, address, events);
        this.clock = clock;
        this.events = events;
        this.execution = execution;
    }

    /**
     * Starts a long poll for changes after a revision.
     *
     * @param revision the revision after which changes are returned, not null
     * @param timeout the longest time that the store keeps the poll open without a change, not null
     */
    public void pollChanges(final StoreRevision revision, final Duration timeout) {
        final String path = "/kv-watch?pathPrefix=&after=" + revision.number() + "&waitMs=" + timeout.toMillis();
        run(
                store.call("GET", path, timeout.plus(PlatformStoreClient.RESPONSE_TIMEOUT))
                        .map(response -> changesEvent(response, revision)),
                failure -> new Event.StoreWatchFailed(false, failure));
    }

    private Event changesEvent(final StoreResponse response, final StoreRevision after) {
        return switch (response.status()) {
            case HTTP_OK ->
                response.era() == after.era()
                        ? new Event.StoreChanged(decodeChanges(response, "events"), response.revision("asOf"))
                        : new Event.StoreWatchFailed(true, "the store came back from a copy");
            case HTTP_GONE -> new Event.StoreWatchFailed(true, "the store no longer holds the requested revisions");
            default -> throw store.unexpectedStatus("watch", response);
        };
    }

    /**
     * Checks whether a routing table is still the newest, by a transaction with a precondition and no writes.
     *
     * @param revision the revision of the table, with the number zero if this process has none, not null
     */
    public void confirmTable(final StoreRevision revision) {
        final Instant requestedAt = clock.get();
        final ObjectNode body = MAPPER.createObjectNode();
        body.putArray("precondition")
                .addObject()
                .put("key", PlatformStoreCodec.ROUTING_KEY)
                .put("revision", revision.number());
        body.putArray("writes");
        body.putArray("remove");
        run(
                store.post(TRANSACTION_PATH, body)
                        .map(response -> confirmationEvent(response, revision.number(), requestedAt)),
                Event.TableConfirmationFailed::new);
    }

    private Event confirmationEvent(final StoreResponse response, final long number, final Instant requestedAt) {
        return switch (response.status()) {
            case HTTP_OK ->
                new Event.TableConfirmed(Optional.empty(), new StoreRevision(response.era(), number), requestedAt);
            case HTTP_PRECONDITION_FAILED -> {
                for (final StoreChange change : decodeChanges(response, "items")) {
                    if (change instanceof StoreChange.TableWritten(var table, StoreRevision newestRevision)) {
                        yield new Event.TableConfirmed(Optional.of(table), newestRevision, requestedAt);
                    }
                }
                yield new Event.TableConfirmationFailed("the store holds no valid routing table");
            }
            default -> throw store.unexpectedStatus("prove", response);
        };
    }

    /** Reads all items of the store and posts those that concern this system. */
    public void readAll() {
        final Instant requestedAt = clock.get();
        run(
                readPage("", new PartialRead(new ArrayList<>(), Optional.empty()))
                        .map(pages -> new Event.StoreRead(
                                pages.changes(), pages.revision().orElseThrow(), requestedAt)),
                failure -> new Event.StoreWatchFailed(false, failure));
    }

    /**
     * Reads the pages after a key.
     *
     * <p>The pages are not one snapshot. The result has the revision of the first page, so that polling from this
     * revision also returns the changes made while later pages were read.
     */
    private Promise<PartialRead> readPage(final String afterKey, final PartialRead previous) {
        final String path = "/kv-range?pathPrefix=&after=" + PlatformStoreClient.encode(afterKey);
        return store.call("GET", path, PlatformStoreClient.RESPONSE_TIMEOUT).flatMap(response -> {
            if (response.status() != HTTP_OK) {
                throw store.unexpectedStatus("range", response);
            }
            final StoreRevision revision = previous.revision().orElseGet(() -> response.revision("asOf"));
            if (revision.era() != response.era()) {
                throw store.unexpectedEra(response);
            }
            final JsonNode items = response.body().path("items");
            previous.changes().addAll(decodeChanges(response, "items"));
            final PartialRead pages = new PartialRead(previous.changes(), Optional.of(revision));
            return response.body().path("hasMore").asBoolean() && !items.isEmpty()
                    ? readPage(items.get(items.size() - 1).path("key").asText(), pages)
                    : Promise.value(pages);
        });
    }

    /**
     * Renews the lease of an instance's store entry, or acquires a lease and writes the entry.
     *
     * @param self the instance, not null
     * @param lease the identifier of the lease, zero to acquire a new lease
     * @param lifetime the time to live of a new lease, not null
     */
    public void renewPresence(final Member self, final long lease, final Duration lifetime) {
        run(
                lease == 0 ? acquireLease(self, lifetime) : extendLease(lease),
                failure -> new Event.PresenceRenewalEnded(false, lease));
    }

    private Promise<Event> extendLease(final long lease) {
        return store.call("POST", "/kv-keep/" + lease, PlatformStoreClient.RESPONSE_TIMEOUT)
                .map(response -> {
                    if (response.status() == HTTP_NOT_FOUND) {
                        return new Event.PresenceRenewalEnded(false, 0);
                    }
                    if (response.status() != HTTP_OK) {
                        throw store.unexpectedStatus("keep", response);
                    }
                    return new Event.PresenceRenewalEnded(true, lease);
                });
    }

    private Promise<Event> acquireLease(final Member self, final Duration lifetime) {
        final ObjectNode leaseRequest = MAPPER.createObjectNode().put("ttlMs", lifetime.toMillis());
        return store.post("/kv-lease", leaseRequest).flatMap(response -> {
            if (response.status() != HTTP_OK) {
                throw store.unexpectedStatus("lease", response);
            }
            final long lease = response.body().path("lease").asLong();
            return store.post(TRANSACTION_PATH, presenceTransaction(self, lease))
                    .map(writeResponse -> {
                        if (writeResponse.status() != HTTP_OK) {
                            throw store.unexpectedStatus("presence", writeResponse);
                        }
                        return new Event.PresenceRenewalEnded(true, lease);
                    });
        });
    }

    /**
     * Writes the plan of engine roles, unless the store holds another revision of it.
     *
     * @param plan the plan, not null
     * @param expectedRevision the revision that must be in the store, zero if there must be no plan
     */
    public void writeRolePlan(final RolePlan plan, final StoreRevision expectedRevision) {
        final Instant requestedAt = clock.get();
        final ObjectNode body = MAPPER.createObjectNode();
        body.putArray("precondition")
                .addObject()
                .put("key", PlatformStoreCodec.ROLE_PLAN_KEY)
                .put("revision", expectedRevision.number());
        body.putArray("writes")
                .addObject()
                .put("key", PlatformStoreCodec.ROLE_PLAN_KEY)
                .put("value", PlatformStoreCodec.encodeRolePlan(plan))
                .put("lease", 0);
        body.putArray("remove");
        run(
                store.post(TRANSACTION_PATH, body)
                        .map(response -> new Event.RolePlanWriteEnded(
                                plan, writtenRevision(response, expectedRevision), requestedAt)),
                failure -> new Event.RolePlanWriteEnded(plan, Optional.empty(), requestedAt));
    }

    /**
     * Writes the plan of a rollout and the state for the operators, unless the store holds another revision.
     *
     * @param plan the plan, not null
     * @param expectedRevision the revision of the plan that must be in the store, zero if there must be none
     */
    public void writeRolloutPlan(final RolloutPlan plan, final StoreRevision expectedRevision) {
        final ObjectNode body = MAPPER.createObjectNode();
        body.putArray("precondition")
                .addObject()
                .put("key", RolloutCodec.planKey(plan.service()))
                .put("revision", expectedRevision.number());
        body.putArray("writes")
                .add(write(RolloutCodec.statusKey(plan.service()), RolloutCodec.encodeStatus(plan)))
                .add(write(RolloutCodec.planKey(plan.service()), RolloutCodec.encodePlan(plan)));
        body.putArray("remove");
        run(
                store.post(TRANSACTION_PATH, body)
                        .map(response -> rolloutPlanEvent(plan, writtenRevision(response, expectedRevision))),
                failure -> rolloutPlanEvent(plan, Optional.empty()));
    }

    /** A write whose precondition was met by a revision of another era has replaced something else. */
    private static Optional<StoreRevision> writtenRevision(
            final StoreResponse response, final StoreRevision expectedRevision) {
        return response.status() == HTTP_OK && response.era() == expectedRevision.era()
                ? Optional.of(response.revision("revision"))
                : Optional.empty();
    }

    private static Event rolloutPlanEvent(final RolloutPlan plan, final Optional<StoreRevision> revision) {
        return new Event.RolloutAdvanced(new RolloutOccurrence.PlanWriteEnded(plan, revision));
    }

    private static ObjectNode write(final String key, final String value) {
        return MAPPER.createObjectNode().put("key", key).put("value", value).put("lease", 0);
    }

    private static ObjectNode presenceTransaction(final Member self, final long lease) {
        final ObjectNode body = MAPPER.createObjectNode();
        body.putArray("precondition");
        body.putArray("writes")
                .addObject()
                .put("key", PlatformStoreCodec.INSTANCE_PREFIX + self.name())
                .put("value", PlatformStoreCodec.encodePresence(self))
                .put("lease", lease);
        body.putArray("remove");
        return body;
    }

    private static List<StoreChange> decodeChanges(final StoreResponse response, final String field) {
        final List<StoreChange> changes = new ArrayList<>();
        response.body().path(field).forEach(item -> PlatformStoreCodec.decode(item, response.era())
                .ifPresent(changes::add));
        return changes;
    }

    private void run(
            final Promise<? extends Event> call, final java.util.function.Function<String, Event> failureEvent) {
        execution
                .fork()
                .onError(failure -> events.accept(failureEvent.apply(failure.toString())))
                .start(started -> call.then(events::accept));
    }

    /** The items read so far, and the store's revision at the first page, empty before that page. */
    private record PartialRead(List<StoreChange> changes, Optional<StoreRevision> revision) {}
}
