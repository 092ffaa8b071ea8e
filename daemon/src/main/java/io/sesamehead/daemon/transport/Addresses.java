package io.sesamehead.daemon.transport;

import com.google.common.net.HostAndPort;
import java.net.InetSocketAddress;

/** Formats and parses socket addresses. */
public final class Addresses {
    private Addresses() {}

    /**
     * Formats an address.
     *
     * @param address the address
     * @return {@code ip:port}, with brackets around an IPv6 address
     */
    public static String text(InetSocketAddress address) {
        String host = address.getHostString();
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    /**
     * Parses an address.
     *
     * @param text {@code ip:port}
     * @return the address
     * @throws IllegalArgumentException if the text has a different format
     */
    public static InetSocketAddress parse(String text) {
        HostAndPort parts = HostAndPort.fromString(text);
        if (!parts.hasPort()) {
            throw new IllegalArgumentException("address has no port: " + text);
        }
        return new InetSocketAddress(parts.getHost(), parts.getPort());
    }
}
