package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.ProblemDocument;
import jakarta.servlet.http.HttpServletResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Writes the server-sent events of one caller. The response is committed with the first token so that an earlier error
 * can be sent with its own HTTP status. Not thread-safe.
 */
final class ServerSentEventWriter implements TokenSink {
    static final String MEDIA_TYPE = "text/event-stream";

    private final HttpServletResponse response;
    private int delivered;
    private boolean disconnected;

    ServerSentEventWriter(HttpServletResponse response) {
        this.response = response;
    }

    @Override
    public boolean accept(int index, String text) {
        if (disconnected) {
            return false;
        }
        if (!response.isCommitted()) {
            response.setStatus(HttpServletResponse.SC_OK);
            response.setContentType(MEDIA_TYPE);
            response.setHeader("Cache-Control", "no-store");
        }
        write(tokenEvent(index, text));
        delivered = index + 1;
        return !disconnected;
    }

    /** Writes the remaining events of a finished completion. */
    void finish(CallResponse.Completed completion) {
        for (int index = delivered; index < completion.tokens().size(); index++) {
            accept(index, completion.tokens().get(index));
        }
        write(endEvent(completion));
    }

    void writeError(ProblemDocument problem) {
        write(event("error", problem.toJson().toString()));
    }

    boolean started() {
        return response.isCommitted();
    }

    boolean clientDisconnected() {
        return disconnected;
    }

    /** Encodes a whole event stream, for a completion of which no token was streamed. */
    static byte[] encode(CallResponse.Completed completion) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (int index = 0; index < completion.tokens().size(); index++) {
            text.writeBytes(tokenEvent(index, completion.tokens().get(index)));
        }
        text.writeBytes(endEvent(completion));
        return text.toByteArray();
    }

    private void write(byte[] event) {
        if (disconnected) {
            return;
        }
        try {
            response.getOutputStream().write(event);
            response.flushBuffer();
        } catch (IOException e) {
            disconnected = true;
        }
    }

    private static byte[] tokenEvent(int index, String text) {
        String data = Json.object().put("index", index).put("text", text).toString();
        return ("event: token\nid: " + index + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] endEvent(CallResponse.Completed completion) {
        return event(
                "end",
                Json.object()
                        .put("count", completion.count())
                        .put("finish", completion.finish())
                        .toString());
    }

    private static byte[] event(String name, String data) {
        return ("event: " + name + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
