package org.lacewingstep.etcd;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import com.google.common.hash.Hashing;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import ratpack.exec.Promise;

/** Keeps the configuration in the store: a head, changed by compare-and-swap, and parts named by their digests. */
public final class ConfigurationStore {
    /** Largest part in bytes; the store takes values up to a megabyte. */
    private static final int PART_BYTES = 512 * 1024;

    private final StoreClient store;

    /**
     * Creates a configuration store.
     *
     * @param store the store's client, not null
     */
    public ConfigurationStore(final StoreClient store) {
        this.store = store;
    }

    /**
     * Reads the head.
     *
     * @return the head, empty if no configuration was ever applied; fails if the store cannot be reached
     */
    public Promise<Optional<StoredHead>> readHead() {
        return store.read(StoreKeys.CONFIGURATION_HEAD)
                .map(found -> found.map(value -> new StoredHead(
                        DocumentCodec.decode(value.value(), ConfigurationHead.class), value.revision())));
    }

    /**
     * Reads the configuration that a head names.
     *
     * @param head the head, not null
     * @return the configuration; fails if the store cannot be reached or a part is missing
     */
    public Promise<Configuration> read(final ConfigurationHead head) {
        Promise<ByteArrayOutputStream> document = Promise.value(new ByteArrayOutputStream());
        for (final String digest : head.parts()) {
            document = document.flatMap(bytes ->
                    store.read(StoreKeys.CONFIGURATION_PART + digest).map(part -> append(bytes, digest, part)));
        }
        return document.map(bytes -> DocumentCodec.decodeConfiguration(bytes.toByteArray()));
    }

    private static ByteArrayOutputStream append(
            final ByteArrayOutputStream bytes, final String digest, final Optional<StoreClient.StoredValue> part) {
        final byte[] value = part.map(StoreClient.StoredValue::value)
                .orElseThrow(() -> new RouterException(
                        ErrorCode.CONFIGURATION_INVALID, "read", digest, "a part of the configuration is missing"));
        bytes.writeBytes(value);
        return bytes;
    }

    /**
     * Writes a configuration in place of the one whose head was read.
     *
     * @param configuration the configuration, not null
     * @param expectedRevision the revision of the head read, zero if there was none
     * @param changes the identifiers of this change and of earlier ones, latest first, so that a lost answer can be
     *     resolved, not empty
     * @return whether the configuration is in the store; fails if the store cannot be reached
     */
    public Promise<Boolean> write(
            final Configuration configuration, final long expectedRevision, final List<String> changes) {
        final byte[] document = DocumentCodec.encode(configuration);
        final List<String> digests = new ArrayList<>();
        Promise<Long> written = Promise.value(0L);
        for (int start = 0; start < document.length; start += PART_BYTES) {
            final byte[] part = Arrays.copyOfRange(document, start, Math.min(document.length, start + PART_BYTES));
            final String digest = Hashing.sha256().hashBytes(part).toString();
            digests.add(digest);
            written = written.flatMap(revision -> store.put(StoreKeys.CONFIGURATION_PART + digest, part, 0));
        }
        final byte[] head =
                DocumentCodec.encode(new ConfigurationHead(configuration.generation(), changes, List.copyOf(digests)));
        return written.flatMap(revision -> store.compareAndPut(StoreKeys.CONFIGURATION_HEAD, expectedRevision, head))
                .map(Optional::isPresent)
                .flatMapError(failure -> isInForce(changes.getFirst(), failure));
    }

    /** After a lost answer the head tells whether the write took effect. */
    private Promise<Boolean> isInForce(final String change, final Throwable failure) {
        return readHead()
                .map(head -> head.filter(stored -> stored.head().changes().contains(change))
                        .isPresent())
                .mapError(again -> {
                    throw new RouterException(
                            ErrorCode.STORE_UNREACHABLE,
                            "write",
                            StoreKeys.CONFIGURATION_HEAD,
                            "the store did not answer; the change " + change + " may or may not be in force",
                            failure);
                });
    }

    /**
     * The head of the configuration.
     *
     * @param generation the generation
     * @param changes the identifiers of the last changes, latest first, not null
     * @param parts the digests of the parts in order, not null
     */
    public record ConfigurationHead(long generation, List<String> changes, List<String> parts) {}

    /**
     * A head and its revision in the store.
     *
     * @param head the head, not null
     * @param revision the revision
     */
    public record StoredHead(ConfigurationHead head, long revision) {}
}
