package io.sesamehead.cli.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/** Follows one event stream: each token must be the expected one, in order, and the end must count them. */
final class StreamVerifier {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final CallSpec.Completion call;
    private final ExpectedTokens check;
    private final LatencyHistograms timings;
    private final long dueNanos;
    private int tokens;
    private long lastNanos;

    StreamVerifier(CallSpec.Completion call, ExpectedTokens check, LatencyHistograms timings, long dueNanos) {
        this.call = call;
        this.check = check;
        this.timings = timings;
        this.dueNanos = dueNanos;
    }

    int tokens() {
        return tokens;
    }

    /**
     * Takes one event.
     *
     * @param event the event
     * @param nowNanos monotonic time of its arrival
     * @return the result when the event ends the attempt
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
        String expected = check.token(call.prompt(), tokens);
        if (data.path("index").asInt(-1) != tokens
                || !expected.equals(data.path("text").asText())) {
            return Optional.of(new AttemptResult.Wrong("token " + tokens + " is " + event.data()));
        }
        if (tokens == 0) {
            timings.recordFirstToken(nowNanos - dueNanos);
        } else {
            timings.recordBetweenTokens(nowNanos - lastNanos);
        }
        tokens++;
        lastNanos = nowNanos;
        return Optional.empty();
    }

    private AttemptResult end(ServerSentEventReader.Event event) {
        int count = parse(event.data()).path("count").asInt(-1);
        if (count != tokens || tokens != call.tokens()) {
            return new AttemptResult.Wrong(
                    "end counts " + count + " tokens, " + tokens + " arrived, " + call.tokens() + " were asked for");
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
