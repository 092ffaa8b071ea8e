package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.EntityUtils;

/**
 * A whole HTTP answer.
 *
 * @param status HTTP status
 * @param contentType content type, empty when the answer has none
 * @param retryAfter value of {@code Retry-After} in seconds, when present
 * @param body the whole body
 */
record BufferedResponse(int status, String contentType, Optional<Duration> retryAfter, byte[] body) {
    /** An answer of the platform or of a plain service that is larger than this is not read. */
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    private static final int DETAIL_CHARACTERS = 200;
    private static final String NOT_RUN = "not-run";

    static BufferedResponse read(ClassicHttpResponse response) throws IOException {
        byte[] body = response.getEntity() == null
                ? new byte[0]
                : EntityUtils.toByteArray(response.getEntity(), MAX_ANSWER_BYTES + 1);
        if (body != null && body.length > MAX_ANSWER_BYTES) {
            throw new IOException("the answer is larger than " + MAX_ANSWER_BYTES + " bytes");
        }
        Header type = response.getFirstHeader(HttpHeaders.CONTENT_TYPE);
        return new BufferedResponse(
                response.getCode(),
                type == null ? "" : type.getValue(),
                retryAfter(response.getFirstHeader(HttpHeaders.RETRY_AFTER)),
                body == null ? new byte[0] : body);
    }

    /** Tells whether the upstream states in the answer that it did not run the request. */
    boolean reportsNotRun() {
        try {
            return NOT_RUN.equals(Json.parse(body).path("run").asText());
        } catch (MalformedMessageException e) {
            return false;
        }
    }

    /** Returns the status and the start of the body, for logs and problem details. */
    String summary() {
        String text = new String(body, StandardCharsets.UTF_8).strip();
        return "status " + status + (text.isEmpty() ? "" : ": " + shortened(text));
    }

    private static String shortened(String text) {
        return text.length() <= DETAIL_CHARACTERS ? text : text.substring(0, DETAIL_CHARACTERS) + "...";
    }

    private static Optional<Duration> retryAfter(Header header) {
        if (header == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    Duration.ofSeconds(Long.parseLong(header.getValue().strip())));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
