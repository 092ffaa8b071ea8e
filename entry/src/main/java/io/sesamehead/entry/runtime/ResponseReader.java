package io.sesamehead.entry.runtime;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.sesamehead.coordination.catalog.CallKind;
import io.sesamehead.entry.port.ResponseMetadata;
import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.transport.ExchangeListener;
import java.io.ByteArrayOutputStream;

/**
 * Checks an upstream's answer before anything of it reaches the caller: whose it is, whether the upstream vouches for
 * it, and whether it is complete. Answers other than event streams are read whole first.
 */
final class ResponseReader implements ExchangeListener {
    /** Largest answer that is read whole, in bytes: far above those of the plain services. */
    private static final int MAX_BODY_BYTES = 8_388_608;

    private final CallTranslator translator;
    private final String requestId;
    private final CallKind kind;
    private final AttemptListener listener;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpResponse head;
    private ResponseMetadata facts;
    private boolean streaming;

    ResponseReader(CallTranslator translator, String requestId, CallKind kind, AttemptListener listener) {
        this.translator = translator;
        this.requestId = requestId;
        this.kind = kind;
        this.listener = listener;
    }

    @Override
    public boolean accepts(HttpResponse response) {
        ResponseMetadata stated = translator.readResponse(response);
        listener.onResponseHead(response, stated);
        String requestIdInResponse = stated.requestId();
        return requestIdInResponse.isEmpty() || requestIdInResponse.equals(requestId);
    }

    @Override
    public void onHead(HttpResponse response) {
        head = response;
        facts = translator.readResponse(response);
        boolean verifiedSuccess = successful() && verified();
        if (kind == CallKind.STREAM && verifiedSuccess) {
            streaming = listener.onStreamStart(response);
        }
    }

    @Override
    public void onContent(ByteBuf data) {
        byte[] bytes = ByteBufUtil.getBytes(data);
        if (streaming) {
            listener.onStreamData(bytes);
            return;
        }
        if (body.size() + bytes.length > MAX_BODY_BYTES) {
            listener.onFailure(true, "answer too large");
            return;
        }
        body.write(bytes, 0, bytes.length);
    }

    @Override
    public void onEnd() {
        if (streaming) {
            listener.onStreamEnd();
        } else if (facts.notRun()) {
            listener.onNotRun(head);
        } else if (!verified()) {
            listener.onFailure(true, "the upstream does not vouch for its answer");
        } else {
            listener.onResponse(head, body.toByteArray());
        }
    }

    @Override
    public void onFailure(boolean sent, String reason) {
        listener.onFailure(sent, reason);
    }

    private boolean successful() {
        return head.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    /** A success counts only with the mark of a complete run, without any encoding, and under the call's own name. */
    private boolean verified() {
        if (!successful()) {
            return !impliesNotRun(head.status());
        }
        return facts.sealed()
                && facts.requestId().equals(requestId)
                && !head.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    /** These statuses promise that a call has not run, which only the upstream's explicit statement can confirm. */
    private static boolean impliesNotRun(HttpResponseStatus status) {
        return switch (status.code()) {
            case 408, 421, 429, 503 -> true;
            default -> false;
        };
    }
}
