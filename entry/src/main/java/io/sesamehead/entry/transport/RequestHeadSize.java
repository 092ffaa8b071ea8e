package io.sesamehead.entry.transport;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Iterator;
import java.util.Map;

/**
 * Measures the heads of requests. Netty fixes the limits of a decoder when a connection opens, so that a connection would
 * keep those of its first configuration.
 */
public final class RequestHeadSize {
    /** Limit of the decoder itself, in bytes: none in practice. */
    public static final int DECODER_LIMIT_BYTES = 1 << 30;

    /** Bytes between the name and the value of a header. */
    private static final int SEPARATOR_BYTES = 2;

    private long undecodedBytes;

    /**
     * Records bytes that the decoder is given.
     *
     * @param byteCount number of bytes
     */
    public void recordReceived(int byteCount) {
        undecodedBytes += byteCount;
    }

    /** Records that the decoder has produced a head or a part of a body. */
    public void recordDecoded() {
        undecodedBytes = 0;
    }

    /**
     * Returns whether nothing was received since the decoder last produced something.
     *
     * @return true if no undecoded bytes are known
     */
    public boolean isEmpty() {
        return undecodedBytes == 0;
    }

    /**
     * Returns whether the decoder keeps more of an incomplete head, chunk size or trailer than a request may have.
     *
     * @param maxHeaderBytes maximum size of the request line, and of the headers together, in bytes
     * @return true if the request cannot be completed within the limits
     */
    public boolean isIncompleteHeadTooLarge(int maxHeaderBytes) {
        return undecodedBytes > 2L * maxHeaderBytes;
    }

    /**
     * Returns whether a complete head is larger than a request may have.
     *
     * @param head the head
     * @param maxHeaderBytes maximum size of the request line, and of the headers together, in bytes
     * @return true if the request must be rejected
     */
    public static boolean isTooLarge(HttpRequest head, int maxHeaderBytes) {
        long lineBytes = head.method().name().length()
                + (long) head.uri().length()
                + head.protocolVersion().text().length()
                + 2;
        long headerBytes = 0;
        Iterator<Map.Entry<CharSequence, CharSequence>> headers = head.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            headerBytes += header.getKey().length()
                    + SEPARATOR_BYTES
                    + header.getValue().length();
        }
        return lineBytes > maxHeaderBytes || headerBytes > maxHeaderBytes;
    }
}
