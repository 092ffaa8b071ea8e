package io.sesamehead.daemon.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.RequestId;

/**
 * Problem document of an error answer.
 *
 * @param kind the error kind
 * @param detail a sentence for the caller
 * @param request the caller's request
 */
public record ProblemDocument(ErrorKind kind, String detail, RequestId request) {
    /** Media type of the document. */
    public static final String MEDIA_TYPE = "application/problem+json";

    /**
     * Encodes the document.
     *
     * @return the JSON object
     */
    public ObjectNode toJson() {
        return Json.object()
                .put("type", kind.type())
                .put("title", kind.title())
                .put("status", kind.status())
                .put("detail", detail)
                .put("run", kind.runState().wireName())
                .put("requestId", request.value());
    }
}
