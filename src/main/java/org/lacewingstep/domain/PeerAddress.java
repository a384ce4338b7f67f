package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Network address of an instance or an upstream.
 *
 * @param host the IP address, not blank
 * @param port the TCP port, 1 to 65535
 */
public record PeerAddress(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Validates host and port. */
    public PeerAddress {
        Validate.notBlank(host, "host");
        Validate.isTrue(port > 0 && port <= MAX_PORT, "port", "from 1 to " + MAX_PORT);
    }

    /**
     * Parses an address of the form host:port.
     *
     * @param text the text, not null
     * @return the address, never null
     * @throws org.lacewingstep.error.RouterException if the text does not have this form
     */
    public static PeerAddress parse(final String text) {
        Validate.notBlank(text, "address");
        final int colon = text.lastIndexOf(':');
        Validate.isTrue(colon > 0, "address", "of the form host:port");
        final String port = text.substring(colon + 1);
        Validate.isTrue(port.matches("\\d{1,5}"), "address", "of the form host:port");
        return new PeerAddress(text.substring(0, colon), Integer.parseInt(port));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
