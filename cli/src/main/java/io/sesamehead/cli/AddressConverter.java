package io.sesamehead.cli;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import com.google.common.net.HostAndPort;
import java.net.InetSocketAddress;

/** Converts {@code ip:port} to a socket address. */
public final class AddressConverter implements IStringConverter<InetSocketAddress> {
    @Override
    public InetSocketAddress convert(String value) {
        return parse(value);
    }

    /**
     * Parses an address.
     *
     * @param value {@code ip:port}
     * @return the address
     * @throws ParameterException if the text is not a valid address
     */
    public static InetSocketAddress parse(String value) {
        try {
            HostAndPort address = HostAndPort.fromString(value);
            return new InetSocketAddress(address.getHost(), address.getPort());
        } catch (IllegalArgumentException | IllegalStateException e) {
            throw new ParameterException(
                    "\"" + value + "\" is not an address; expected ip:port, such as 127.0.0.1:9000");
        }
    }
}
