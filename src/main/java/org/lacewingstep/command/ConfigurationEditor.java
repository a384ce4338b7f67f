package org.lacewingstep.command;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.UnaryOperator;

import org.lacewingstep.domain.Configuration;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import org.lacewingstep.etcd.ConfigurationStore;
import org.lacewingstep.etcd.ConfigurationStore.StoredHead;
import org.lacewingstep.etcd.StoreClient;
import ratpack.exec.Promise;

/** Updates the configuration in the store by compare-and-swap. */
final class ConfigurationEditor {
    /** Earlier change identifiers kept in the head; a writer whose response was lost finds its own change there. */
    private static final int MAX_EARLIER_CHANGES = 16;

    private ConfigurationEditor() {}

    /**
     * Reads the configuration, applies a change and writes the result as the next generation.
     *
     * @param storeAddress the store's address, not null
     * @param change computes the next configuration from the stored one, not null
     * @return the generation written
     * @throws RouterException if the store cannot be reached or another operator wrote to the store in the meantime
     */
    static long edit(final URI storeAddress, final UnaryOperator<Configuration> change) {
        try (BlockingHttpCalls calls = new BlockingHttpCalls()) {
            return calls.run(client -> edit(new ConfigurationStore(new StoreClient(client, storeAddress)), change));
        }
    }

    private static Promise<Long> edit(final ConfigurationStore store, final UnaryOperator<Configuration> change) {
        return store.readHead()
                .flatMap(head -> readCurrent(store, head).flatMap(current -> write(store, head, current, change)));
    }

    private static Promise<Configuration> readCurrent(final ConfigurationStore store, final Optional<StoredHead> head) {
        return head.map(stored -> store.read(stored.head())).orElseGet(() -> Promise.value(Configuration.EMPTY));
    }

    private static Promise<Long> write(
            final ConfigurationStore store,
            final Optional<StoredHead> head,
            final Configuration current,
            final UnaryOperator<Configuration> change) {
        final Configuration next = change.apply(current).withGeneration(current.generation() + 1);
        final List<String> changes = new ArrayList<>();
        changes.add(UUID.randomUUID().toString());
        head.ifPresent(stored ->
                stored.head().changes().stream().limit(MAX_EARLIER_CHANGES).forEach(changes::add));
        final long revision = head.map(StoredHead::revision).orElse(0L);
        return store.write(next, revision, List.copyOf(changes)).map(written -> {
            if (!written) {
                throw new RouterException(
                        ErrorCode.CONFIGURATION_CONFLICT,
                        "write",
                        "store",
                        "another operator changed the configuration meanwhile; nothing was changed, try again");
            }
            return next.generation();
        });
    }
}
