package org.lacewingstep.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;

/** Reads TOML files. */
public final class TomlFile {
    private static final TomlMapper MAPPER = new TomlMapper();

    private TomlFile() {}

    /**
     * Reads a TOML file.
     *
     * @param file the file, not null
     * @return the root table, never null
     * @throws RouterException if the file cannot be read or is not valid TOML
     */
    public static TomlTable read(final Path file) {
        final Faults faults = new Faults(file.toString());
        try {
            final JsonNode tree = MAPPER.readTree(Files.readString(file));
            return new TomlTable(tree, "", faults);
        } catch (final JsonProcessingException failure) {
            final String position = "line " + failure.getLocation().getLineNr();
            faults.add(position, "must be TOML: " + failure.getOriginalMessage());
        } catch (final IOException failure) {
            faults.add("file", "must be readable: " + failure.getMessage());
        }
        faults.throwIfAny(ErrorCode.SETTINGS_INVALID);
        throw new IllegalStateException("the faults were not thrown");
    }
}
