package org.lacewingstep.command;

import java.net.URI;

import org.lacewingstep.settings.InstanceSettings;
import picocli.CommandLine.Option;
import picocli.CommandLine.TypeConversionException;

/** The option that names the platform's store. */
final class StoreOption {
    @Option(
            names = "--store",
            required = true,
            paramLabel = "URL",
            description = "address of the key-value service, such as http://127.0.0.1:2379")
    private String store;

    /**
     * Gets the address.
     *
     * @return the address, never null
     */
    URI address() {
        try {
            return InstanceSettings.address(store);
        } catch (final IllegalArgumentException failure) {
            throw new TypeConversionException("--store " + failure.getMessage());
        }
    }
}
