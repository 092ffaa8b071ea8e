package io.sesamehead.entry.runtime;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.sesamehead.coordination.catalog.CallKind;
import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.port.ResponseMetadata;
import io.sesamehead.entry.transport.ExchangeListener;
import java.util.List;
import java.util.Optional;

/**
 * Verifies an upstream's response before any of it reaches the caller: that it belongs to the call, is sealed by the
 * upstream and is complete. Responses other than event streams are buffered in full first.
 */
final class ResponseReader implements ExchangeListener {
    private final CallTranslator translator;
    private final String requestId;
    private final CallKind kind;
    private final boolean resumed;
    private final AttemptListener listener;
    private final ResponseBuffer body;
    private HttpResponse head;
    private ResponseMetadata facts;
    private boolean streaming;
    private boolean streamDataSeen;

    /**
     * Creates a reader for one attempt.
     *
     * @param translator reads the upstream's headers
     * @param requestId the call's id, empty if its caller stated none
     * @param kind kind of the call
     * @param resumed whether the attempt continues a stream that the caller has already begun to receive
     * @param body buffers a response that is no stream
     * @param listener receives the outcome
     */
    ResponseReader(
            CallTranslator translator,
            String requestId,
            CallKind kind,
            boolean resumed,
            ResponseBuffer body,
            AttemptListener listener) {
        this.translator = translator;
        this.requestId = requestId;
        this.kind = kind;
        this.resumed = resumed;
        this.body = body;
        this.listener = listener;
    }

    @Override
    public Optional<String> requestId() {
        return Optional.of(requestId);
    }

    /**
     * Accepts a response that states this call's id, or that states no id and can only refer to this call. Any other
     * response says nothing about this call, and its statements about the upstream may be outdated.
     */
    @Override
    public boolean accepts(HttpResponse response, boolean onlyRequest) {
        ResponseMetadata stated = translator.readResponse(response);
        boolean accepted = stated.requestId().isEmpty()
                ? onlyRequest || translator.singleResponses()
                : stated.requestId().equals(requestId);
        if (accepted) {
            listener.onResponseHead(response, stated);
        }
        return accepted;
    }

    @Override
    public void onHead(HttpResponse response) {
        head = response;
        facts = translator.readResponse(response);
        boolean verifiedSuccess = successful() && verified();
        if (kind == CallKind.STREAM && verifiedSuccess && isEventStream()) {
            streaming = listener.onStreamStart(response);
        }
    }

    @Override
    public void onContent(ByteBuf data) {
        if (streaming) {
            streamDataSeen = true;
            listener.onStreamData(ByteBufUtil.getBytes(data));
        } else if (HttpUtil.getContentLength(head, 0L) > ResponseBuffer.MAX_BODY_BYTES || !body.append(data)) {
            listener.onOversizedResponse("response body exceeds the maximum size or the memory for responses");
        }
    }

    @Override
    public void onReadComplete() {
        if (streaming) {
            listener.onReadComplete();
        }
    }

    @Override
    public void onEnd() {
        if (streaming) {
            endStream();
        } else if (facts.notRun()) {
            listener.onNotRun(head);
        } else if (!verified()) {
            listener.onFaultyResponse("unverified upstream response");
        } else {
            listener.onResponse(head, body.take());
        }
    }

    /**
     * Ends a stream, or fails the attempt if its end without an event proves nothing: a connection that closes right
     * after a head without framing may be that of an upstream that has failed, and a stream that was broken off may have
     * further events.
     */
    private void endStream() {
        boolean framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        if (streamDataSeen || (framed && !resumed)) {
            listener.onStreamEnd(framed);
        } else {
            listener.onFailure(true, "stream ended before the first event");
        }
    }

    /** Whether the body consists of events. Those of a resumed stream are joined to earlier ones, so it must say so. */
    private boolean isEventStream() {
        CharSequence type = HttpUtil.getMimeType(head);
        boolean stated = type == null ? !resumed : HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(type);
        return stated && head.status().equals(HttpResponseStatus.OK);
    }

    @Override
    public void onFaultyResponse(String reason) {
        listener.onFaultyResponse(reason);
    }

    @Override
    public void onFailure(boolean sent, String reason) {
        listener.onFailure(sent, reason);
    }

    private boolean successful() {
        return head.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    /**
     * Whether the response can be trusted: its framing must be known; a success must be sealed, carry the call's request
     * id and no content encoding; any other status must not imply that the call did not run.
     */
    private boolean verified() {
        if (!isFramingKnown()) {
            return false;
        }
        if (!successful()) {
            return !impliesNotRun(head.status());
        }
        return facts.sealed()
                && facts.requestId().equals(requestId)
                && !head.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    /** Whether the only transfer coding is chunked. The decoder takes a body in any other coding for one without framing. */
    private boolean isFramingKnown() {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.stream().allMatch(HttpHeaderValues.CHUNKED::contentEqualsIgnoreCase);
    }

    /**
     * Whether a status implies that the call has not run, which only an explicit statement of the upstream confirms.
     */
    private static boolean impliesNotRun(HttpResponseStatus status) {
        return switch (status.code()) {
            case 408, 421, 429, 503 -> true;
            default -> false;
        };
    }
}
