package org.lacewingstep.standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * An HTTP request as read from a socket.
 *
 * @param method the HTTP method, not null
 * @param path the path and query of the request target, not null
 * @param headers the header values by lower-case header name, not null
 * @param body the request body, empty if there is none, not null
 */
public record SocketRequest(String method, String path, Map<String, String> headers, String body) {
    /**
     * Reads the next request of a connection.
     *
     * @param reader the input of the connection, not null
     * @return the request, empty if the connection has ended
     * @throws IOException if reading fails or the connection ends within the body
     */
    public static Optional<SocketRequest> read(final BufferedReader reader) throws IOException {
        final Optional<SocketRequest> head = readHead(reader);
        if (head.isEmpty()) {
            return head;
        }
        final SocketRequest request = head.get();
        final char[] body = new char[Integer.parseInt(request.headers().getOrDefault("content-length", "0"))];
        for (int offset = 0; offset < body.length; ) {
            final int charactersRead = reader.read(body, offset, body.length - offset);
            if (charactersRead < 0) {
                throw new IOException("the connection ended within the request body");
            }
            offset += charactersRead;
        }
        return Optional.of(new SocketRequest(request.method(), request.path(), request.headers(), new String(body)));
    }

    /**
     * Reads the head of the next request of a connection, and leaves its body unread.
     *
     * @param reader the input of the connection, not null
     * @return the request without its body, empty if the connection has ended
     * @throws IOException if reading fails
     */
    public static Optional<SocketRequest> readHead(final BufferedReader reader) throws IOException {
        final String firstLine = reader.readLine();
        if (firstLine == null) {
            return Optional.empty();
        }
        final String[] requestLine = firstLine.split(" ");
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
            final int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return Optional.of(new SocketRequest(requestLine[0], requestLine[1], headers, ""));
    }
}
