package io.sesamehead.daemon.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.sesamehead.daemon.protocol.Json;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.function.Supplier;

/** Answers GET on the admin port with a status and a JSON document. */
public final class JsonServlet extends HttpServlet {
    private static final long serialVersionUID = 1L;

    private final transient Supplier<JsonResponse> source;

    /**
     * What is answered.
     *
     * @param status HTTP status
     * @param body the document
     */
    public record JsonResponse(int status, JsonNode body) {}

    /**
     * Creates a servlet.
     *
     * @param source builds the answer to each request
     */
    public JsonServlet(Supplier<JsonResponse> source) {
        this.source = source;
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response) throws IOException {
        JsonResponse answer = source.get();
        response.setStatus(answer.status());
        response.setContentType("application/json");
        response.setHeader("Cache-Control", "no-store");
        response.getOutputStream().write(Json.bytes(answer.body()));
    }
}
