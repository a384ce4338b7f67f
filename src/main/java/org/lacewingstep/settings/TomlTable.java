package org.lacewingstep.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.lacewingstep.error.RouterException;

/**
 * A table of a TOML file. Reading an invalid value, or a missing value that is required, adds a fault and returns a
 * substitute, so that the faults of the whole file are collected in one pass.
 */
public final class TomlTable {
    private static final Pattern DURATION_PATTERN = Pattern.compile("(\\d{1,9})(ms|s|m)");

    private final Faults faults;
    private final String prefix;
    private final JsonNode tree;

    /**
     * Creates a table.
     *
     * @param tree the parsed content of the table, not null
     * @param prefix the path of the table in the file, empty or ending with a dot; not null
     * @param faults collects the faults of the file, not null
     */
    TomlTable(final JsonNode tree, final String prefix, final Faults faults) {
        this.tree = tree;
        this.prefix = prefix;
        this.faults = faults;
    }

    /**
     * Adds a fault for each key of the table that is not allowed.
     *
     * @param keys the allowed keys, not null
     */
    public void rejectUnknownKeys(final Set<String> keys) {
        for (final Iterator<String> names = tree.fieldNames(); names.hasNext(); ) {
            final String name = names.next();
            if (!keys.contains(name)) {
                addFault(name, "is unknown; allowed are " + new TreeSet<>(keys));
            }
        }
    }

    /**
     * Reads a boolean.
     *
     * @param key the key, not null
     * @param defaultValue the value for a missing key
     * @return the value
     */
    public boolean readBoolean(final String key, final boolean defaultValue) {
        final JsonNode node = tree.path(key);
        if (!node.isMissingNode() && !node.isBoolean()) {
            addFault(key, "must be true or false");
        }
        return node.asBoolean(defaultValue);
    }

    /**
     * Reads a duration such as {@code 500ms}, {@code 2s} or {@code 1m}.
     *
     * @param key the key, not null
     * @param defaultValue the value for a missing key, also returned after a fault, not null
     * @return the value, never null
     */
    public Duration readDuration(final String key, final Duration defaultValue) {
        final JsonNode node = tree.path(key);
        if (node.isMissingNode()) {
            return defaultValue;
        }
        final Matcher matcher = DURATION_PATTERN.matcher(node.asText());
        if (!node.isTextual() || !matcher.matches()) {
            addFault(key, "must be a duration in quotes, such as \"500ms\", \"2s\" or \"1m\"");
            return defaultValue;
        }
        final long number = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> Duration.ofMillis(number);
            case "s" -> Duration.ofSeconds(number);
            default -> Duration.ofMinutes(number);
        };
    }

    /**
     * Adds a fault.
     *
     * @param key the key, not null
     * @param description the description of the fault, which follows the key in the message, not null
     */
    public void addFault(final String key, final String description) {
        faults.add(prefix + key, description);
    }

    /**
     * Returns the faults collected for the whole file.
     *
     * @return the faults, never null
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Returns whether a key is present.
     *
     * @param key the key, not null
     * @return true if the key is present
     */
    public boolean hasKey(final String key) {
        return tree.has(key);
    }

    /**
     * Reads an integer.
     *
     * @param key the key, not null
     * @param minimum the minimum allowed value, also returned after a fault
     * @param maximum the maximum allowed value
     * @param defaultValue the value for a missing key; below the minimum if the key is required
     * @return the value
     */
    public long readInteger(final String key, final long minimum, final long maximum, final long defaultValue) {
        final JsonNode node = tree.path(key);
        if (node.isMissingNode() && defaultValue >= minimum) {
            return defaultValue;
        }
        if (!node.isIntegralNumber() || node.asLong() < minimum || node.asLong() > maximum) {
            addFault(key, "must be a whole number from " + minimum + " to " + maximum);
            return minimum;
        }
        return node.asLong();
    }

    /**
     * Reads a required string and parses it into another type.
     *
     * @param <T> the type of the parsed value
     * @param key the key, not null
     * @param parse parses the string; throws an exception if the string is invalid, not null
     * @param defaultValue the value returned after a fault, may be null
     * @return the value
     */
    public <T> T readParsed(final String key, final Function<String, T> parse, final T defaultValue) {
        final String text = readString(key, null);
        if (text == null) {
            return defaultValue;
        }
        try {
            return parse.apply(text);
        } catch (final RouterException | IllegalArgumentException failure) {
            addFault(key, failure.getMessage());
            return defaultValue;
        }
    }

    /**
     * Reads a nested table.
     *
     * @param key the key, not null
     * @return the nested table, empty if the key is missing or after a fault; never null
     */
    public TomlTable readTable(final String key) {
        final JsonNode node = tree.path(key);
        if (!node.isMissingNode() && !node.isObject()) {
            addFault(key, "must be a table");
        }
        final JsonNode content =
                node.isObject() ? node : com.fasterxml.jackson.databind.node.JsonNodeFactory.instance.objectNode();
        return new TomlTable(content, prefix + key + ".", faults);
    }

    /**
     * Reads a list of tables.
     *
     * @param key the key, not null
     * @return the tables, empty if the list is missing; never null
     */
    public List<TomlTable> readTables(final String key) {
        final List<TomlTable> tables = new ArrayList<>();
        final JsonNode node = tree.path(key);
        if (!node.isMissingNode() && !node.isArray()) {
            addFault(key, "must be a list of tables, each under [[" + key + "]]");
            return tables;
        }
        for (int index = 0; index < node.size(); index++) {
            tables.add(new TomlTable(node.get(index), prefix + key + "[" + index + "].", faults));
        }
        return tables;
    }

    /**
     * Reads a string.
     *
     * @param key the key, not null
     * @param defaultValue the value for a missing key, null if the key is required; also returned after a fault
     * @return the string
     */
    public String readString(final String key, final String defaultValue) {
        final JsonNode node = tree.path(key);
        if (node.isMissingNode() && defaultValue != null) {
            return defaultValue;
        }
        if (!node.isTextual() || node.asText().isBlank()) {
            addFault(key, "must be a text in quotes");
            return defaultValue;
        }
        return node.asText();
    }

    /**
     * Reads a list of strings.
     *
     * @param key the key, not null
     * @return the strings, empty if the list is missing; never null
     */
    public List<String> readStrings(final String key) {
        final List<String> texts = new ArrayList<>();
        final JsonNode node = tree.path(key);
        if (!node.isMissingNode() && !node.isArray()) {
            addFault(key, "must be a list of texts");
        }
        node.forEach(item -> texts.add(item.asText()));
        return texts;
    }
}
