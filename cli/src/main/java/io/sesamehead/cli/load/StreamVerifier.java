package io.sesamehead.cli.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * Verifies one event stream: the tokens must be the expected ones in order, and the count in the end event must match.
 */
final class StreamVerifier {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final CallSpec.Completion call;
    private final ExpectedTokens expectedTokens;
    private final LatencyHistograms latencies;
    private final long dueNanos;
    private int receivedTokens;
    private long lastNanos;

    StreamVerifier(
            CallSpec.Completion call, ExpectedTokens expectedTokens, LatencyHistograms latencies, long dueNanos) {
        this.call = call;
        this.expectedTokens = expectedTokens;
        this.latencies = latencies;
        this.dueNanos = dueNanos;
    }

    int receivedTokens() {
        return receivedTokens;
    }

    /**
     * Processes one event.
     *
     * @param event the event
     * @param nowNanos monotonic time in nanoseconds at which the event was received
     * @return the result if the event ends the attempt
     */
    Optional<AttemptResult> accept(ServerSentEventReader.Event event, long nowNanos) {
        return switch (event.name()) {
            case "token" -> token(event, nowNanos);
            case "end" -> Optional.of(end(event));
            case "error" -> Optional.of(LoadClient.errorEvent(event.data()));
            default -> Optional.of(new AttemptResult.Wrong("unexpected event " + event.name()));
        };
    }

    private Optional<AttemptResult> token(ServerSentEventReader.Event event, long nowNanos) {
        JsonNode data = parse(event.data());
        String expectedText = expectedTokens.token(call.prompt(), receivedTokens);
        if (data.path("index").asInt(-1) != receivedTokens
                || !expectedText.equals(data.path("text").asText())) {
            return Optional.of(new AttemptResult.Wrong("token " + receivedTokens + " is " + event.data()));
        }
        if (receivedTokens == 0) {
            latencies.recordFirstToken(nowNanos - dueNanos);
        } else {
            latencies.recordBetweenTokens(nowNanos - lastNanos);
        }
        receivedTokens++;
        lastNanos = nowNanos;
        return Optional.empty();
    }

    private AttemptResult end(ServerSentEventReader.Event event) {
        int count = parse(event.data()).path("count").asInt(-1);
        if (count != receivedTokens || receivedTokens != call.tokens()) {
            return new AttemptResult.Wrong("end counts " + count + " tokens, " + receivedTokens + " arrived, "
                    + call.tokens() + " were asked for");
        }
        return new AttemptResult.Whole("");
    }

    private static JsonNode parse(String data) {
        try {
            return JSON.readTree(data);
        } catch (JsonProcessingException e) {
            return JSON.missingNode();
        }
    }
}
