package io.sesamehead.daemon.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import java.time.Duration;

/** Maps responses of the object API to typed results. */
final class StoreResultMapper {
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
    private static final int CREATED = 201;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private StoreResultMapper() {}

    /** Decodes the value from the JSON body of a successful response. */
    interface ValueReader<T> {
        T read(JsonNode tree) throws MalformedMessageException;
    }

    /**
     * Maps a response. After a server error other than 503, or a success whose body is malformed, it is unknown whether a
     * write took effect.
     */
    static <T> StoreResult<T> fromResponse(BufferedResponse response, boolean write, ValueReader<T> reader) {
        int status = response.status();
        if (status == OK || status == CREATED) {
            return success(response, write, reader);
        }
        if (status == NOT_FOUND) {
            return new StoreResult.NotFound<>();
        }
        if (status == CONFLICT) {
            return reason(response).equals("AlreadyExists")
                    ? new StoreResult.AlreadyExists<>()
                    : new StoreResult.Conflict<>();
        }
        if (status == TOO_MANY_REQUESTS) {
            return new StoreResult.RateLimited<>(response.retryAfter().orElse(DEFAULT_RETRY_AFTER));
        }
        if (status == UNAVAILABLE) {
            return new StoreResult.Unavailable<>(response.summary());
        }
        if (status >= SERVER_ERROR) {
            return new StoreResult.Ambiguous<>(response.summary());
        }
        return new StoreResult.Rejected<>(response.summary());
    }

    private static <T> StoreResult<T> success(BufferedResponse response, boolean write, ValueReader<T> reader) {
        try {
            return new StoreResult.Ok<>(reader.read(Json.parse(response.body())));
        } catch (MalformedMessageException e) {
            String detail = "malformed response: " + e.getMessage();
            return write ? new StoreResult.Ambiguous<>(detail) : new StoreResult.Rejected<>(detail);
        }
    }

    private static String reason(BufferedResponse response) {
        try {
            return Json.parse(response.body()).path("reason").asText();
        } catch (MalformedMessageException e) {
            return "";
        }
    }
}
