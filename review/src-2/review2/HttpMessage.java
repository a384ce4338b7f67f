package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A request or response as it was read: first line, headers in lower case, body. */
record HttpMessage(String firstLine, Map<String, String> headers, byte[] body, boolean complete) {
    /** Reads a message, null if the connection ends before its first byte. */
    static HttpMessage read(final InputStream input, final boolean response) throws IOException {
        final String first = line(input);
        if (first == null) {
            return null;
        }
        final Map<String, String> headers = new TreeMap<>();
        for (String line = line(input); ; line = line(input)) {
            if (line == null) {
                return new HttpMessage(first, headers, new byte[0], false);
            }
            if (line.isEmpty()) {
                break;
            }
            final int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            return chunked(first, headers, input);
        }
        final String length = headers.get("content-length");
        if (length == null) {
            return new HttpMessage(first, headers, response ? input.readAllBytes() : new byte[0], true);
        }
        final byte[] body = input.readNBytes(Integer.parseInt(length));
        return new HttpMessage(first, headers, body, body.length == Integer.parseInt(length));
    }

    private static HttpMessage chunked(final String first, final Map<String, String> headers, final InputStream input)
            throws IOException {
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            final String size = line(input);
            if (size == null || size.isEmpty()) {
                return new HttpMessage(first, headers, body.toByteArray(), false);
            }
            final int bytes = Integer.parseInt(size.trim(), 16);
            final byte[] chunk = input.readNBytes(bytes);
            body.writeBytes(chunk);
            if (chunk.length < bytes || line(input) == null) {
                return new HttpMessage(first, headers, body.toByteArray(), false);
            }
            if (bytes == 0) {
                return new HttpMessage(first, headers, body.toByteArray(), true);
            }
        }
    }

    private static String line(final InputStream input) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next >= 0; next = input.read()) {
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            line.write(next);
        }
        return null;
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String header(final String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
}
