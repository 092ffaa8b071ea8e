package io.sesamehead.daemon.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.standin.engine.TokenSource;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

final class CompletionCallsTest {
    private static final int TOKENS = 40;

    /** Guards against events that are lost, reordered or added between the engine and the caller. */
    @Test
    void streamsWholeAnswer() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(2)) {
            HttpResponse<String> response =
                    daemon.send(daemon.completion("{\"prompt\":\"tin 1\",\"max_tokens\":40,\"stream\":true}"));

            assertThat(response.headers().firstValue("Content-Type").orElse("")).startsWith("text/event-stream");
            assertThat(response.body()).isEqualTo(events("tin 1"));
        }
    }

    static String events(String prompt) {
        StringBuilder expected = new StringBuilder();
        for (int index = 0; index < TOKENS; index++) {
            String data = Json.object()
                    .put("index", index)
                    .put("text", TokenSource.token(prompt, index))
                    .toString();
            expected.append("event: token\nid: ")
                    .append(index)
                    .append("\ndata: ")
                    .append(data)
                    .append("\n\n");
        }
        return expected.append("event: end\ndata: {\"count\":40,\"finish\":\"stop\"}\n\n")
                .toString();
    }
}
