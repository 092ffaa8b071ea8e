package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.ProblemDocument;
import jakarta.servlet.http.HttpServletResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * One caller's server-sent events. The response starts with the first token, so that an error before it is answered
 * with its own status. Used by one thread.
 */
final class ServerSentEventWriter implements TokenSink {
    static final String MEDIA_TYPE = "text/event-stream";

    private final HttpServletResponse response;
    private int delivered;
    private boolean gone;

    ServerSentEventWriter(HttpServletResponse response) {
        this.response = response;
    }

    @Override
    public boolean accept(int index, String text) {
        if (gone) {
            return false;
        }
        if (!response.isCommitted()) {
            response.setStatus(HttpServletResponse.SC_OK);
            response.setContentType(MEDIA_TYPE);
            response.setHeader("Cache-Control", "no-store");
        }
        write(tokenEvent(index, text));
        delivered = index + 1;
        return !gone;
    }

    /** Writes the events that are left of a whole answer. */
    void finish(CallResponse.Completed answer) {
        for (int index = delivered; index < answer.tokens().size(); index++) {
            accept(index, answer.tokens().get(index));
        }
        write(endEvent(answer));
    }

    void writeError(ProblemDocument problem) {
        write(event("error", problem.toJson().toString()));
    }

    boolean started() {
        return response.isCommitted();
    }

    boolean clientDisconnected() {
        return gone;
    }

    /** Returns a whole stream in which no token was delivered as it arrived. */
    static byte[] encode(CallResponse.Completed answer) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (int index = 0; index < answer.tokens().size(); index++) {
            text.writeBytes(tokenEvent(index, answer.tokens().get(index)));
        }
        text.writeBytes(endEvent(answer));
        return text.toByteArray();
    }

    private void write(byte[] event) {
        if (gone) {
            return;
        }
        try {
            response.getOutputStream().write(event);
            response.flushBuffer();
        } catch (IOException e) {
            gone = true;
        }
    }

    private static byte[] tokenEvent(int index, String text) {
        String data = Json.object().put("index", index).put("text", text).toString();
        return ("event: token\nid: " + index + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] endEvent(CallResponse.Completed answer) {
        return event(
                "end",
                Json.object()
                        .put("count", answer.count())
                        .put("finish", answer.finish())
                        .toString());
    }

    private static byte[] event(String name, String data) {
        return ("event: " + name + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
