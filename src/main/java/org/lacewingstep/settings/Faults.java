package org.lacewingstep.settings;

import java.util.ArrayList;
import java.util.List;

import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;

/** Collects the faults of a file so that all of them are reported at once. */
public final class Faults {
    private final List<String> entries = new ArrayList<>();
    private final String file;

    /**
     * Creates an empty collection.
     *
     * @param file the file's name, not null
     */
    public Faults(final String file) {
        this.file = file;
    }

    /**
     * Adds a fault.
     *
     * @param key the key or the position of the fault in the file, not null
     * @param description the description of the fault, which follows the key in the message, not null
     */
    public void add(final String key, final String description) {
        entries.add(file + ": " + key + ": " + description);
    }

    /**
     * Returns the faults.
     *
     * @return one line for each fault, never null
     */
    public List<String> lines() {
        return List.copyOf(entries);
    }

    /**
     * Throws an exception with all faults, if there are any.
     *
     * @param code the code of the exception, not null
     * @throws RouterException if there are faults
     */
    public void throwIfAny(final ErrorCode code) {
        if (!entries.isEmpty()) {
            throw new RouterException(code, "check", file, String.join(System.lineSeparator(), entries));
        }
    }
}
