package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.ClientAccount;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against retries that are not recognized and against different calls with the same fingerprint. */
final class CrashSubjectTest {
    private static CrashSubject of(String target, String account, String body) {
        return CrashSubject.ofCall(
                target, Optional.of(new ClientAccount(account)), body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void ignoresQuery() {
        assertThat(of("/a/1?try=1", "t", "x")).isEqualTo(of("/a/1?try=2", "t", "x"));
        assertThat(of("/a/1", "t", "")).isEqualTo(of("/a/1", "t", ""));
    }

    @Test
    void distinguishesPathAccountAndBody() {
        CrashSubject call = of("/a/1", "t", "x");

        assertThat(of("/a/2", "t", "x")).isNotEqualTo(call);
        assertThat(of("/a/1", "u", "x")).isNotEqualTo(call);
        assertThat(of("/a/1", "t", "y")).isNotEqualTo(call);
        assertThat(of("/a/1t", "x", "")).isNotEqualTo(of("/a/1", "tx", ""));
        assertThat(CrashSubject.ofCall("/a/1", Optional.empty(), new byte[0])).isNotEqualTo(of("/a/1", "t", ""));
    }
}
