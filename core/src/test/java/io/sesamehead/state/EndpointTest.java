package io.sesamehead.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an endpoint whose host name would have to be looked up before a connection. */
final class EndpointTest {
    @ParameterizedTest
    @ValueSource(strings = {"10.128.0.9:8080", "0.0.0.0:1", "[2001:db8::1]:65535"})
    void parsesWhatItPrints(String text) {
        assertThat(Endpoint.parse(text)).hasToString(text);
    }

    @Test
    void equalAddressesAreEqualInAnyForm() {
        assertThat(Endpoint.parse("[2001:DB8:0::1]:80")).isEqualTo(new Endpoint("2001:db8::1", 80));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "localhost:80",
                "engine.example:80",
                "10.0.0.256:80",
                "10.1:80",
                "10.0.0.1",
                "10.0.0.1:",
                "10.0.0.1:0",
                "10.0.0.1:-1",
                "10.0.0.1:+80",
                "10.0.0.1:65536",
                "10.0.0.1:99999999999",
                "10.0.0.1:x",
                "10.0.0.1\n:80",
                "\u0661\u0660.0.0.1:80",
                "2001:db8::1:80",
                "[10.0.0.1:80",
                "",
                ":"
            })
    void rejectsHostNamesAndInvalidPorts(String text) {
        assertThatThrownBy(() -> Endpoint.parse(text)).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void rejectsHostName() {
        assertThatThrownBy(() -> new Endpoint("localhost", 80)).isInstanceOf(IllegalArgumentException.class);
    }
}
