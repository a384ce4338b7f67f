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

/** A table of a TOML file; reading a value that is missing or wrong notes a fault and yields a substitute. */
public final class TomlTable {
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m)");

    private final Faults faults;
    private final String prefix;
    private final JsonNode tree;

    /**
     * Creates a table.
     *
     * @param tree the values, not null
     * @param prefix the path of the table in the file, ending with a dot or empty; not null
     * @param faults collects faults, not null
     */
    TomlTable(final JsonNode tree, final String prefix, final Faults faults) {
        this.tree = tree;
        this.prefix = prefix;
        this.faults = faults;
    }

    /**
     * Notes a fault for each key that is not allowed.
     *
     * @param keys the allowed keys, not null
     */
    public void allow(final Set<String> keys) {
        for (final Iterator<String> names = tree.fieldNames(); names.hasNext(); ) {
            final String name = names.next();
            if (!keys.contains(name)) {
                fault(name, "is unknown; allowed are " + new TreeSet<>(keys));
            }
        }
    }

    /**
     * Reads a truth value.
     *
     * @param key the key, not null
     * @param substitute the value where the key is missing
     * @return the value
     */
    public boolean bool(final String key, final boolean substitute) {
        final JsonNode node = tree.path(key);
        if (!node.isMissingNode() && !node.isBoolean()) {
            fault(key, "must be true or false");
        }
        return node.asBoolean(substitute);
    }

    /**
     * Reads a duration such as 500ms, 2s or 1m.
     *
     * @param key the key, not null
     * @param substitute the value where the key is missing, not null
     * @return the value, never null
     */
    public Duration duration(final String key, final Duration substitute) {
        final JsonNode node = tree.path(key);
        if (node.isMissingNode()) {
            return substitute;
        }
        final Matcher matcher = DURATION.matcher(node.asText());
        if (!node.isTextual() || !matcher.matches()) {
            fault(key, "must be a duration in quotes, such as \"500ms\", \"2s\" or \"1m\"");
            return substitute;
        }
        final long number = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> Duration.ofMillis(number);
            case "s" -> Duration.ofSeconds(number);
            default -> Duration.ofMinutes(number);
        };
    }

    /**
     * Notes a fault.
     *
     * @param key the key, not null
     * @param allowed what is allowed there, not null
     */
    public void fault(final String key, final String allowed) {
        faults.add(prefix + key, allowed);
    }

    /**
     * Gets the collected faults.
     *
     * @return the faults, never null
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Tells whether a key is present.
     *
     * @param key the key, not null
     * @return true if it is
     */
    public boolean has(final String key) {
        return tree.has(key);
    }

    /**
     * Reads a whole number.
     *
     * @param key the key, not null
     * @param lowest the lowest allowed
     * @param highest the highest allowed
     * @param substitute the value where the key is missing; below the lowest if it must not be missing
     * @return the value
     */
    public long number(final String key, final long lowest, final long highest, final long substitute) {
        final JsonNode node = tree.path(key);
        if (node.isMissingNode() && substitute >= lowest) {
            return substitute;
        }
        if (!node.isIntegralNumber() || node.asLong() < lowest || node.asLong() > highest) {
            fault(key, "must be a whole number from " + lowest + " to " + highest);
            return lowest;
        }
        return node.asLong();
    }

    /**
     * Reads a value of another type out of a text.
     *
     * @param <T> the type
     * @param key the key, not null
     * @param parse parses the text and raises an error if it is invalid, not null
     * @param substitute the value where the text is missing or invalid, may be null
     * @return the value
     */
    public <T> T parsed(final String key, final Function<String, T> parse, final T substitute) {
        final String text = text(key, null);
        if (text == null) {
            return substitute;
        }
        try {
            return parse.apply(text);
        } catch (final RouterException | IllegalArgumentException failure) {
            fault(key, failure.getMessage());
            return substitute;
        }
    }

    /**
     * Reads a table.
     *
     * @param key the key, not null
     * @return the table, empty if it is missing; never null
     */
    public TomlTable table(final String key) {
        final JsonNode node = tree.path(key);
        if (!node.isMissingNode() && !node.isObject()) {
            fault(key, "must be a table");
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
    public List<TomlTable> tables(final String key) {
        final List<TomlTable> tables = new ArrayList<>();
        final JsonNode node = tree.path(key);
        if (!node.isMissingNode() && !node.isArray()) {
            fault(key, "must be a list of tables, each under [[" + key + "]]");
        }
        for (int index = 0; index < node.size(); index++) {
            tables.add(new TomlTable(node.get(index), prefix + key + "[" + index + "].", faults));
        }
        return tables;
    }

    /**
     * Reads a text.
     *
     * @param key the key, not null
     * @param substitute the value where the key is missing; null if it must not be missing
     * @return the text
     */
    public String text(final String key, final String substitute) {
        final JsonNode node = tree.path(key);
        if (node.isMissingNode() && substitute != null) {
            return substitute;
        }
        if (!node.isTextual() || node.asText().isBlank()) {
            fault(key, "must be a text in quotes");
            return substitute;
        }
        return node.asText();
    }

    /**
     * Reads a list of texts.
     *
     * @param key the key, not null
     * @return the texts, empty if the list is missing; never null
     */
    public List<String> texts(final String key) {
        final List<String> texts = new ArrayList<>();
        final JsonNode node = tree.path(key);
        if (!node.isMissingNode() && !node.isArray()) {
            fault(key, "must be a list of texts");
        }
        node.forEach(item -> texts.add(item.asText()));
        return texts;
    }
}
