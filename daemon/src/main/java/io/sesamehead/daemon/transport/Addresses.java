package io.sesamehead.daemon.transport;

import java.net.InetSocketAddress;

/** Text form of socket addresses. */
final class Addresses {
    private Addresses() {}

    static String text(InetSocketAddress address) {
        String host = address.getHostString();
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}
