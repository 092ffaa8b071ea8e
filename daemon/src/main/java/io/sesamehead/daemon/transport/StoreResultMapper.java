package io.sesamehead.daemon.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import java.time.Duration;

/** Maps answers of the object API to typed results. */
final class StoreResultMapper {
    private static final Duration DEFAULT_RETRY = Duration.ofSeconds(1);
    private static final int CREATED = 201;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private StoreResultMapper() {}

    /** Reads the value from the JSON of a successful answer. */
    interface ValueReader<T> {
        T read(JsonNode tree) throws MalformedMessageException;
    }

    /**
     * Classifies an answer. A server error other than 503 leaves open whether a write took effect, and so does a
     * success whose body cannot be read.
     */
    static <T> StoreResult<T> fromResponse(BufferedResponse answer, boolean write, ValueReader<T> reader) {
        int status = answer.status();
        if (status == OK || status == CREATED) {
            return success(answer, write, reader);
        }
        if (status == NOT_FOUND) {
            return new StoreResult.NotFound<>();
        }
        if (status == CONFLICT) {
            return reason(answer).equals("AlreadyExists")
                    ? new StoreResult.AlreadyExists<>()
                    : new StoreResult.Conflict<>();
        }
        if (status == TOO_MANY_REQUESTS) {
            return new StoreResult.RateLimited<>(answer.retryAfter().orElse(DEFAULT_RETRY));
        }
        if (status == UNAVAILABLE) {
            return new StoreResult.Unavailable<>(answer.summary());
        }
        if (status >= SERVER_ERROR) {
            return new StoreResult.Ambiguous<>(answer.summary());
        }
        return new StoreResult.Rejected<>(answer.summary());
    }

    private static <T> StoreResult<T> success(BufferedResponse answer, boolean write, ValueReader<T> reader) {
        try {
            return new StoreResult.Ok<>(reader.read(Json.parse(answer.body())));
        } catch (MalformedMessageException e) {
            String detail = "unreadable answer: " + e.getMessage();
            return write ? new StoreResult.Ambiguous<>(detail) : new StoreResult.Rejected<>(detail);
        }
    }

    private static String reason(BufferedResponse answer) {
        try {
            return Json.parse(answer.body()).path("reason").asText();
        } catch (MalformedMessageException e) {
            return "";
        }
    }
}
