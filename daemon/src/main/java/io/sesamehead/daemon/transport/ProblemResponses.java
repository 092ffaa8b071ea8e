package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.ProblemDocument;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.Response;
import java.util.OptionalLong;

/** Error answers. */
final class ProblemResponses {
    private static final long MILLIS_PER_SECOND = 1000;

    private ProblemResponses() {}

    static Response response(ProblemDocument problem, OptionalLong retryAfterMillis) {
        Response.ResponseBuilder builder = Response.status(problem.kind().status())
                .entity(Json.bytes(problem.toJson()))
                .header(HttpHeaders.CONTENT_TYPE, ProblemDocument.MEDIA_TYPE)
                .header(CallHeaders.REQUEST_ID, problem.request().value());
        retryAfterMillis.ifPresent(millis -> builder.header(HttpHeaders.RETRY_AFTER, seconds(millis)));
        return builder.build();
    }

    /** Answers a request whose body was not read to its end; the connection cannot be used again, and says so. */
    static Response closing(ProblemDocument problem) {
        return Response.fromResponse(response(problem, OptionalLong.empty()))
                .header("Connection", "close")
                .build();
    }

    /** Rounds up, so that nobody comes back too early. */
    private static long seconds(long millis) {
        return Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }
}
