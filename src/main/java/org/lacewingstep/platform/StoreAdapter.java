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
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.platform.PlatformStore.Reply;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.http.client.HttpClient;

/** Carries out what the controllers want of the platform's store and reports what it answers. */
public final class StoreAdapter {
    private static final int HTTP_CHANGED = 412;
    private static final int HTTP_GONE = 410;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int HTTP_OK = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TRANSACTION_PATH = "/kv-txn";

    private final Supplier<Instant> clock;
    private final Consumer<Event> events;
    private final ExecController execution;
    private final PlatformStore store;

    /**
     * Creates an adapter.
     *
     * @param client the HTTP client, not null
     * @param address the store's address, not null
     * @param clock tells the present time, not null
     * @param events receives what the store answers, not null
     * @param execution runs the calls, not null
     */
    public StoreAdapter(
            final HttpClient client,
            final PeerAddress address,
            final Supplier<Instant> clock,
            final Consumer<Event> events,
            final ExecController execution) {
        this.store = new PlatformStore(client, address);
        this.clock = clock;
        this.events = events;
        this.execution = execution;
    }

    /**
     * Waits for changes.
     *
     * @param revision the revision after which changes are wanted
     * @param wait how long to wait for one, not null
     */
    public void awaitChanges(final long revision, final Duration wait) {
        final String path = "/kv-watch?pathPrefix=&after=" + revision + "&waitMs=" + wait.toMillis();
        run(
                store.call("GET", path, wait.plus(PlatformStore.ANSWER_LIMIT)).map(this::changes),
                failure -> new Event.StoreFeedBroken(false, failure));
    }

    private Event changes(final Reply reply) {
        return switch (reply.status()) {
            case HTTP_OK ->
                new Event.StoreChanged(
                        decode(reply.body().path("events")),
                        reply.body().path("asOf").asLong());
            case HTTP_GONE -> new Event.StoreFeedBroken(true, "the store has dropped its history");
            default -> throw store.refused("watch", reply);
        };
    }

    /**
     * Asks whether a routing table is still the newest, by a transaction that changes nothing.
     *
     * @param revision the revision of the table, zero for none
     */
    public void proveTable(final long revision) {
        final Instant askedAt = clock.get();
        final ObjectNode body = MAPPER.createObjectNode();
        body.putArray("precondition")
                .addObject()
                .put("key", StoreCodec.ROUTING_KEY)
                .put("revision", revision);
        body.putArray("writes");
        body.putArray("remove");
        run(store.post(TRANSACTION_PATH, body).map(reply -> proof(reply, revision, askedAt)), Event.TableUnproved::new);
    }

    private Event proof(final Reply reply, final long revision, final Instant askedAt) {
        return switch (reply.status()) {
            case HTTP_OK -> new Event.TableProved(Optional.empty(), revision, askedAt);
            case HTTP_CHANGED -> {
                for (final StoreChange change : decode(reply.body().path("items"))) {
                    if (change instanceof StoreChange.TableWritten(var table, long newest)) {
                        yield new Event.TableProved(Optional.of(table), newest, askedAt);
                    }
                }
                yield new Event.TableUnproved("the store holds no routing table that can be understood");
            }
            default -> throw store.refused("prove", reply);
        };
    }

    /** Reads everything that concerns this process. */
    public void readAll() {
        final Instant askedAt = clock.get();
        run(
                readPage("", new Pages(new ArrayList<>(), 0))
                        .map(pages -> new Event.StoreRead(pages.content(), pages.revision(), askedAt)),
                failure -> new Event.StoreFeedBroken(false, failure));
    }

    /** Pages are no snapshot: changes between them are seen again from the revision of the first one. */
    private Promise<Pages> readPage(final String after, final Pages before) {
        final String path = "/kv-range?pathPrefix=&after=" + PlatformStore.encode(after);
        return store.call("GET", path, PlatformStore.ANSWER_LIMIT).flatMap(reply -> {
            if (reply.status() != HTTP_OK) {
                throw store.refused("range", reply);
            }
            final JsonNode items = reply.body().path("items");
            before.content().addAll(decode(items));
            final long revision =
                    before.revision() == 0 ? reply.body().path("asOf").asLong() : before.revision();
            final Pages pages = new Pages(before.content(), revision);
            return reply.body().path("hasMore").asBoolean() && !items.isEmpty()
                    ? readPage(items.get(items.size() - 1).path("key").asText(), pages)
                    : Promise.value(pages);
        });
    }

    /**
     * Renews the lease under which an instance is present, or takes one.
     *
     * @param self the instance, not null
     * @param lease the lease, zero to take a new one
     * @param life how long the lease lasts, not null
     */
    public void renewPresence(final Member self, final long lease, final Duration life) {
        run(lease == 0 ? takeLease(self, life) : keepLease(lease), failure -> new Event.PresenceUnrenewed(false));
    }

    private Promise<Event> keepLease(final long lease) {
        return store.call("POST", "/kv-keep/" + lease, PlatformStore.ANSWER_LIMIT)
                .map(reply -> {
                    if (reply.status() == HTTP_NOT_FOUND) {
                        return new Event.PresenceUnrenewed(true);
                    }
                    if (reply.status() != HTTP_OK) {
                        throw store.refused("keep", reply);
                    }
                    return new Event.PresenceRenewed(lease);
                });
    }

    private Promise<Event> takeLease(final Member self, final Duration life) {
        final ObjectNode asked = MAPPER.createObjectNode().put("ttlMs", life.toMillis());
        return store.post("/kv-lease", asked).flatMap(reply -> {
            if (reply.status() != HTTP_OK) {
                throw store.refused("lease", reply);
            }
            final long lease = reply.body().path("lease").asLong();
            return store.post(TRANSACTION_PATH, presence(self, lease)).map(written -> {
                if (written.status() != HTTP_OK) {
                    throw store.refused("presence", written);
                }
                return new Event.PresenceRenewed(lease);
            });
        });
    }

    private static ObjectNode presence(final Member self, final long lease) {
        final ObjectNode body = MAPPER.createObjectNode();
        body.putArray("precondition");
        body.putArray("writes")
                .addObject()
                .put("key", StoreCodec.INSTANCE_PREFIX + self.name())
                .put("value", StoreCodec.encodePresence(self))
                .put("lease", lease);
        body.putArray("remove");
        return body;
    }

    private static List<StoreChange> decode(final JsonNode items) {
        final List<StoreChange> changes = new ArrayList<>();
        items.forEach(item -> StoreCodec.decode(item).ifPresent(changes::add));
        return changes;
    }

    private void run(final Promise<? extends Event> call, final java.util.function.Function<String, Event> failed) {
        execution
                .fork()
                .onError(failure -> events.accept(failed.apply(failure.toString())))
                .start(started -> call.then(events::accept));
    }

    /** What was read so far, and the store's revision at the first page. */
    private record Pages(List<StoreChange> content, long revision) {}
}
