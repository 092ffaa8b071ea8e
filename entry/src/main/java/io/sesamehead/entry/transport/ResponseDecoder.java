package io.sesamehead.entry.transport;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes the responses on a client connection and reports bytes that belong to no complete response. */
final class ResponseDecoder extends HttpResponseDecoder {
    private boolean headRequest;

    ResponseDecoder(int maxLineBytes, int maxHeaderBytes, int maxChunkBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxLineBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setMaxChunkSize(maxChunkBytes));
    }

    /** Sets whether the next response is to a HEAD request, which has no body regardless of its framing headers. */
    void expectResponse(boolean toHeadRequest) {
        headRequest = toHeadRequest;
    }

    /** Returns whether bytes were received that have not been decoded, such as those after a complete response. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequest || super.isContentAlwaysEmpty(message);
    }
}
