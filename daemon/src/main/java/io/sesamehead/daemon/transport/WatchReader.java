package io.sesamehead.daemon.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.ObjectCodec;
import io.sesamehead.daemon.protocol.PlatformObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import org.apache.hc.core5.http.ClassicHttpResponse;

/** Reads the JSON lines of a watch. */
final class WatchReader {
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final Duration DEFAULT_RETRY = Duration.ofSeconds(1);

    private WatchReader() {}

    static WatchResult read(String kind, ClassicHttpResponse response, Consumer<WatchEvent> events) throws IOException {
        if (response.getCode() != OK) {
            return refusal(BufferedResponse.read(response));
        }
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(response.getEntity().getContent(), StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (line.isBlank()) {
                continue;
            }
            try {
                JsonNode event = Json.parse(line);
                String type = event.path("type").asText();
                if (type.equals("ERROR")) {
                    return new WatchResult.VersionExpired();
                }
                PlatformObject object = ObjectCodec.decode(kind, event.path("object"));
                events.accept(type.equals("DELETED") ? new WatchEvent.Deleted(object) : new WatchEvent.Changed(object));
            } catch (MalformedMessageException e) {
                throw new IOException("unreadable watch event: " + e.getMessage(), e);
            }
        }
        return new WatchResult.TimedOut();
    }

    private static WatchResult refusal(BufferedResponse answer) {
        return switch (answer.status()) {
            case GONE -> new WatchResult.VersionExpired();
            case TOO_MANY_REQUESTS ->
                new WatchResult.RateLimited(answer.retryAfter().orElse(DEFAULT_RETRY));
            default -> new WatchResult.Broken(answer.summary());
        };
    }
}
