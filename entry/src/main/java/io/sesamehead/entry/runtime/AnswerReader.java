package io.sesamehead.entry.runtime;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.sesamehead.coordination.catalog.CallKind;
import io.sesamehead.entry.port.AnswerFacts;
import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.transport.ExchangeListener;
import java.io.ByteArrayOutputStream;

/**
 * Checks an upstream's answer before anything of it reaches the caller: whose it is, whether the upstream vouches for
 * it, and whether it is complete. Answers other than event streams are read whole first.
 */
final class AnswerReader implements ExchangeListener {
    /** Largest answer that is read whole, in bytes: far above those of the plain services. */
    private static final int MAX_BODY_BYTES = 8_388_608;

    private final CallTranslator translator;
    private final String requestId;
    private final CallKind kind;
    private final AttemptSink sink;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpResponse head;
    private AnswerFacts facts;
    private boolean streaming;

    AnswerReader(CallTranslator translator, String requestId, CallKind kind, AttemptSink sink) {
        this.translator = translator;
        this.requestId = requestId;
        this.kind = kind;
        this.sink = sink;
    }

    @Override
    public boolean accepts(HttpResponse answer) {
        AnswerFacts stated = translator.readAnswer(answer);
        sink.stated(answer, stated);
        String answered = stated.requestId();
        return answered.isEmpty() || answered.equals(requestId);
    }

    @Override
    public void onHead(HttpResponse answer) {
        head = answer;
        facts = translator.readAnswer(answer);
        boolean vouched = success() && trusted();
        if (kind == CallKind.STREAM && vouched) {
            streaming = sink.streaming(answer);
        }
    }

    @Override
    public void onContent(ByteBuf data) {
        byte[] bytes = ByteBufUtil.getBytes(data);
        if (streaming) {
            sink.data(bytes);
            return;
        }
        if (body.size() + bytes.length > MAX_BODY_BYTES) {
            sink.failed(true, "answer too large");
            return;
        }
        body.write(bytes, 0, bytes.length);
    }

    @Override
    public void onEnd() {
        if (streaming) {
            sink.streamEnded();
        } else if (facts.notRun()) {
            sink.notRun(head);
        } else if (!trusted()) {
            sink.failed(true, "the upstream does not vouch for its answer");
        } else {
            sink.answered(head, body.toByteArray());
        }
    }

    @Override
    public void onFailure(boolean sent, String reason) {
        sink.failed(sent, reason);
    }

    private boolean success() {
        return head.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    /** A success counts only with the mark of a complete run, without any encoding, and under the call's own name. */
    private boolean trusted() {
        if (!success()) {
            return !promisesNotRun(head.status());
        }
        return facts.sealed()
                && facts.requestId().equals(requestId)
                && !head.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    /** These statuses promise that a call has not run, which only the upstream's explicit statement can confirm. */
    private static boolean promisesNotRun(HttpResponseStatus status) {
        return switch (status.code()) {
            case 408, 421, 429, 503 -> true;
            default -> false;
        };
    }
}
