package org.lacewingstep.command;

import java.net.URI;

import org.lacewingstep.settings.InstanceSettings;
import picocli.CommandLine.Option;
import picocli.CommandLine.TypeConversionException;

/** The command line option for the address of the key-value store. */
final class StoreAddressOption {
    @Option(
            names = "--store",
            required = true,
            paramLabel = "URL",
            description = "address of the key-value service, such as http://127.0.0.1:2379")
    private String store;

    /**
     * Parses the address of the store.
     *
     * @return the address of the store, never null
     */
    URI address() {
        try {
            return InstanceSettings.parseHttpAddress(store);
        } catch (final IllegalArgumentException failure) {
            throw new TypeConversionException("--store " + failure.getMessage());
        }
    }
}
