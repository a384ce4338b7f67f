package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    private Http() {}

    /** A message as read from a connection; {@code complete} is false if the connection ended within the body. */
    record Message(String startLine, Map<String, String> headers, byte[] body, boolean complete) {
        String header(final String name) {
            return headers.getOrDefault(name, "");
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    /** Reads the head of a message; null if the connection ends before the first byte. */
    static Message readHead(final InputStream input) throws IOException {
        final List<String> lines = new ArrayList<>();
        final StringBuilder line = new StringBuilder();
        int length = 0;
        for (int next = input.read(); ; next = input.read()) {
            if (next < 0) {
                if (length == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a head");
            }
            if (++length > MAX_HEAD_BYTES) {
                throw new IOException("the head is too long");
            }
            if (next != '\n') {
                line.append((char) next);
                continue;
            }
            final String text = line.toString().stripTrailing();
            line.setLength(0);
            if (!text.isEmpty()) {
                lines.add(text);
            } else if (!lines.isEmpty()) {
                break;
            }
        }
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (final String header : lines.subList(1, lines.size())) {
            final int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
        }
        return new Message(lines.getFirst(), headers, new byte[0], false);
    }

    /** Reads a whole message; null if the connection ends before the first byte. */
    static Message read(final InputStream input, final boolean response) throws IOException {
        final Message head = readHead(input);
        if (head == null) {
            return null;
        }
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete;
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            complete = readChunks(input, body);
        } else if (!head.header("content-length").isEmpty()) {
            complete = copy(input, body, Integer.parseInt(head.header("content-length")));
        } else if (response) {
            input.transferTo(body);
            complete = true;
        } else {
            complete = true;
        }
        return new Message(head.startLine(), head.headers(), body.toByteArray(), complete);
    }

    private static boolean readChunks(final InputStream input, final ByteArrayOutputStream body) throws IOException {
        while (true) {
            final String size = readLine(input);
            if (size == null) {
                return false;
            }
            final int length = Integer.parseInt(size.split(";")[0].strip(), 16);
            if (length == 0) {
                while (true) {
                    final String trailer = readLine(input);
                    if (trailer == null) {
                        return false;
                    }
                    if (trailer.isEmpty()) {
                        return true;
                    }
                }
            }
            if (!copy(input, body, length) || readLine(input) == null) {
                return false;
            }
        }
    }

    private static String readLine(final InputStream input) throws IOException {
        final StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                return null;
            }
            line.append((char) next);
        }
        return line.toString().stripTrailing();
    }

    private static boolean copy(final InputStream input, final ByteArrayOutputStream body, final int length)
            throws IOException {
        final byte[] bytes = input.readNBytes(length);
        body.writeBytes(bytes);
        return bytes.length == length;
    }

    static InputStream buffered(final InputStream input) {
        return new BufferedInputStream(input);
    }

    static byte[] ascii(final String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
