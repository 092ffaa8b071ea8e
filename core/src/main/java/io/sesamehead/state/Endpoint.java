package io.sesamehead.state;

import com.google.common.net.InetAddresses;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Address on which a process listens. Its host is never a name: a connection must not wait for the look-up of one.
 *
 * @param host IP address, in its shortest form
 * @param port TCP or UDP port, 1 to 65535
 */
public record Endpoint(String host, int port) {
    private static final int MAX_PORT = 65_535;
    private static final Pattern FORM = Pattern.compile("(?:\\[([0-9a-fA-F:.]+)]|([0-9.]+)):([0-9]{1,5})");

    /** Rejects hosts that are not IP addresses, and ports out of range. */
    public Endpoint {
        Objects.requireNonNull(host, "host");
        host = InetAddresses.toAddrString(InetAddresses.forString(host));
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("expected a port from 1 to 65535, found " + port);
        }
    }

    /**
     * Parses {@code host:port}, where an IPv6 address is in brackets.
     *
     * @param text the text
     * @return the endpoint
     * @throws IllegalArgumentException if the text does not have this form, or its host or port is invalid
     */
    public static Endpoint parse(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("expected an IP address and a port, found " + text);
        }
        String host = matcher.group(1) == null ? matcher.group(2) : matcher.group(1);
        return new Endpoint(host, Integer.parseInt(matcher.group(3)));
    }

    @Override
    public String toString() {
        return host.indexOf(':') < 0 ? host + ":" + port : "[" + host + "]:" + port;
    }
}
