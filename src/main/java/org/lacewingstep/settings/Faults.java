package org.lacewingstep.settings;

import java.util.ArrayList;
import java.util.List;

import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;

/** Collects every fault of a file, so that one run names them all. */
public final class Faults {
    private final String file;
    private final List<String> found = new ArrayList<>();

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
     * @param key where it is, not null
     * @param allowed what is allowed there, not null
     */
    public void add(final String key, final String allowed) {
        found.add(file + ": " + key + ": " + allowed);
    }

    /**
     * Gets the faults.
     *
     * @return a line a fault, never null
     */
    public List<String> lines() {
        return List.copyOf(found);
    }

    /**
     * Raises the faults, if there are any.
     *
     * @param code the code of the error, not null
     * @throws RouterException if there are faults
     */
    public void raise(final ErrorCode code) {
        if (!found.isEmpty()) {
            throw new RouterException(code, "check", file, String.join(System.lineSeparator(), found));
        }
    }
}
