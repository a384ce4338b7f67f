package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader of JSON: objects become maps, arrays lists, numbers doubles. */
final class Json {
    private final String text;
    private int at;

    private Json(final String text) {
        this.text = text;
    }

    static Object parse(final String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> rows(final Object object, final String field) {
        final Object rows = ((Map<String, Object>) object).get(field);
        return rows == null ? List.of() : (List<Map<String, Object>>) rows;
    }

    static String quote(final String value) {
        return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private Object value() {
        skipSpace();
        final char first = text.charAt(at);
        if (first == '{') {
            return object();
        }
        if (first == '[') {
            return array();
        }
        if (first == '"') {
            return string();
        }
        final int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        final String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private Map<String, Object> object() {
        final Map<String, Object> members = new LinkedHashMap<>();
        at++;
        skipSpace();
        while (text.charAt(at) != '}') {
            skipSpace();
            final String name = string();
            skipSpace();
            at++;
            members.put(name, value());
            skipSpace();
            at += text.charAt(at) == ',' ? 1 : 0;
            skipSpace();
        }
        at++;
        return members;
    }

    private List<Object> array() {
        final List<Object> items = new ArrayList<>();
        at++;
        skipSpace();
        while (text.charAt(at) != ']') {
            items.add(value());
            skipSpace();
            at += text.charAt(at) == ',' ? 1 : 0;
            skipSpace();
        }
        at++;
        return items;
    }

    private String string() {
        final StringBuilder value = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next == '\\') {
                next = text.charAt(at++);
                if (next == 'u') {
                    next = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                    at += 4;
                } else if (next == 'n') {
                    next = '\n';
                } else if (next == 't') {
                    next = '\t';
                } else if (next == 'r') {
                    next = '\r';
                }
            }
            value.append(next);
        }
        at++;
        return value.toString();
    }

    private void skipSpace() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }
}
