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

/**
 * Reads and writes the configuration in the store. The document is split into parts whose keys contain their digests;
 * a head, replaced by compare-and-swap, lists the parts of the current configuration.
 */
public final class ConfigurationStore {
    /** Maximum size of a part in bytes; the store accepts values of up to one megabyte. */
    private static final int MAX_PART_BYTES = 512 * 1024;

    private final StoreClient store;

    /**
     * Creates a configuration store.
     *
     * @param store the client of the store, not null
     */
    public ConfigurationStore(final StoreClient store) {
        this.store = store;
    }

    /**
     * Reads the head of the current configuration.
     *
     * @return a promise of the head, empty if no configuration was ever applied; fails if the store cannot be reached
     */
    public Promise<Optional<StoredHead>> readHead() {
        return store.read(StoreKeys.CONFIGURATION_HEAD)
                .map(found -> found.map(value -> new StoredHead(
                        DocumentCodec.decode(value.value(), ConfigurationHead.class), value.revision())));
    }

    /**
     * Reads the configuration whose parts a head lists.
     *
     * @param head the head, not null
     * @return a promise of the configuration; fails if the store cannot be reached or a part is missing
     */
    public Promise<Configuration> read(final ConfigurationHead head) {
        Promise<ByteArrayOutputStream> document = Promise.value(new ByteArrayOutputStream());
        for (final String digest : head.parts()) {
            document = document.flatMap(bytes -> store.read(StoreKeys.CONFIGURATION_PART_PREFIX + digest)
                    .map(part -> appendPart(bytes, digest, part)));
        }
        return document.map(bytes -> DocumentCodec.decodeConfiguration(bytes.toByteArray()));
    }

    private static ByteArrayOutputStream appendPart(
            final ByteArrayOutputStream bytes, final String digest, final Optional<StoreClient.StoredValue> part) {
        final byte[] value = part.map(StoreClient.StoredValue::value)
                .orElseThrow(() -> new RouterException(
                        ErrorCode.CONFIGURATION_INVALID, "read", digest, "a part of the configuration is missing"));
        bytes.writeBytes(value);
        return bytes;
    }

    /**
     * Replaces the configuration if its head has not changed since it was read.
     *
     * @param configuration the new configuration, not null
     * @param expectedRevision the store revision of the head when it was read, zero if there was no head
     * @param changes the identifiers of this change and of earlier changes, latest first, not empty; after a lost
     *     response they show whether this change was written
     * @return a promise of whether the configuration was written; fails if the store cannot be reached
     */
    public Promise<Boolean> write(
            final Configuration configuration, final long expectedRevision, final List<String> changes) {
        final byte[] document = DocumentCodec.encode(configuration);
        final List<String> digests = new ArrayList<>();
        Promise<Long> written = Promise.value(0L);
        for (int start = 0; start < document.length; start += MAX_PART_BYTES) {
            final byte[] part = Arrays.copyOfRange(document, start, Math.min(document.length, start + MAX_PART_BYTES));
            final String digest = Hashing.sha256().hashBytes(part).toString();
            digests.add(digest);
            written = written.flatMap(revision -> store.put(StoreKeys.CONFIGURATION_PART_PREFIX + digest, part, 0));
        }
        final byte[] head =
                DocumentCodec.encode(new ConfigurationHead(configuration.generation(), changes, List.copyOf(digests)));
        return written.flatMap(revision -> store.compareAndPut(StoreKeys.CONFIGURATION_HEAD, expectedRevision, head))
                .map(Optional::isPresent)
                .flatMapError(failure -> isChangeStored(changes.getFirst(), failure));
    }

    /** Reads the head after a lost response and checks whether it contains the change. */
    private Promise<Boolean> isChangeStored(final String change, final Throwable writeFailure) {
        return readHead()
                .map(head -> head.filter(stored -> stored.head().changes().contains(change))
                        .isPresent())
                .mapError(readFailure -> {
                    throw new RouterException(
                            ErrorCode.STORE_UNREACHABLE,
                            "write",
                            StoreKeys.CONFIGURATION_HEAD,
                            "the store did not respond; the change " + change + " may or may not be in force",
                            writeFailure);
                });
    }

    /**
     * The head of the configuration, which lists the parts of the document.
     *
     * @param generation the generation of the configuration
     * @param changes the identifiers of the latest changes, latest first, not null
     * @param parts the digests of the parts in the order of the document, not null
     */
    public record ConfigurationHead(long generation, List<String> changes, List<String> parts) {}

    /**
     * A head and the store revision at which it was written.
     *
     * @param head the head, not null
     * @param revision the store revision of the head
     */
    public record StoredHead(ConfigurationHead head, long revision) {}
}
