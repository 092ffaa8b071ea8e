package io.sesamehead.cli.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the verification of streams: skipped, repeated, wrong and missing tokens must be detected. */
class StreamVerifierTest {
    private static final CallSpec.Completion CALL = new CallSpec.Completion("shop-1", "assistant", "p", 2, true);
    private static final String FIRST = "event: token\nid: 0\ndata: {\"index\":0,\"text\":\"p0\"}\n\n";
    private static final String SECOND = "event: token\nid: 1\ndata: {\"index\":1,\"text\":\"p1\"}\n\n";
    private static final String END = "event: end\ndata: {\"count\":2,\"finish\":\"stop\"}\n\n";

    @Test
    void acceptsCompleteStream() throws IOException {
        assertThat(read(": comment\n\n" + FIRST + SECOND + END)).containsInstanceOf(AttemptResult.Whole.class);
    }

    @Test
    void rejectsWrongOrderCountOrText() throws IOException {
        assertThat(read(SECOND)).containsInstanceOf(AttemptResult.Wrong.class);
        assertThat(read(FIRST + FIRST)).containsInstanceOf(AttemptResult.Wrong.class);
        assertThat(read(FIRST + END)).containsInstanceOf(AttemptResult.Wrong.class);
        assertThat(read(FIRST.replace("p0", "q0"))).containsInstanceOf(AttemptResult.Wrong.class);
        assertThat(read(FIRST + SECOND + END.replace("2", "3"))).containsInstanceOf(AttemptResult.Wrong.class);
    }

    @Test
    void readsRunStateOfErrorEvent() throws IOException {
        String error =
                "event: error\ndata: {\"type\":\"urn:sesamehead:error:stream-torn\",\"run\":\"may-have-run\"}\n\n";
        assertThat(read(FIRST + error)).containsInstanceOf(AttemptResult.Refused.class);
    }

    @Test
    void findsNoEndInTruncatedStream() throws IOException {
        assertThat(read(FIRST + SECOND + END.strip())).isEmpty();
    }

    private static Optional<AttemptResult> read(String text) throws IOException {
        ServerSentEventReader events = new ServerSentEventReader(new BufferedReader(new StringReader(text)));
        StreamVerifier verifier =
                new StreamVerifier(CALL, (prompt, index) -> prompt + index, new LatencyHistograms(), 0);
        for (Optional<ServerSentEventReader.Event> event = events.next(); event.isPresent(); event = events.next()) {
            Optional<AttemptResult> end = verifier.accept(event.get(), 0);
            if (end.isPresent()) {
                return end;
            }
        }
        return Optional.empty();
    }
}
