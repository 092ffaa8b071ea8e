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
 * An HTTP response that was read completely into memory.
 *
 * @param status HTTP status
 * @param contentType content type, empty if the response has none
 * @param retryAfter value of {@code Retry-After}, if present and given in seconds
 * @param body the whole body
 */
record BufferedResponse(int status, String contentType, Optional<Duration> retryAfter, byte[] body) {
    /** Maximum size of a response body of the platform or of a plain service. */
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    private static final int MAX_SUMMARY_LENGTH = 200;
    private static final String NOT_RUN = "not-run";

    static BufferedResponse read(ClassicHttpResponse response) throws IOException {
        byte[] body = response.getEntity() == null
                ? new byte[0]
                : EntityUtils.toByteArray(response.getEntity(), MAX_BODY_BYTES + 1);
        if (body != null && body.length > MAX_BODY_BYTES) {
            throw new IOException("the response body is larger than " + MAX_BODY_BYTES + " bytes");
        }
        Header type = response.getFirstHeader(HttpHeaders.CONTENT_TYPE);
        return new BufferedResponse(
                response.getCode(),
                type == null ? "" : type.getValue(),
                retryAfter(response.getFirstHeader(HttpHeaders.RETRY_AFTER)),
                body == null ? new byte[0] : body);
    }

    /** Whether the upstream reports in the response that it did not run the request. */
    boolean reportsNotRun() {
        try {
            return NOT_RUN.equals(Json.parse(body).path("run").asText());
        } catch (MalformedMessageException e) {
            return false;
        }
    }

    /** Returns the status and the beginning of the body, for logs and problem details. */
    String summary() {
        String text = new String(body, StandardCharsets.UTF_8).strip();
        return "status " + status + (text.isEmpty() ? "" : ": " + truncated(text));
    }

    private static String truncated(String text) {
        return text.length() <= MAX_SUMMARY_LENGTH ? text : text.substring(0, MAX_SUMMARY_LENGTH) + "...";
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
