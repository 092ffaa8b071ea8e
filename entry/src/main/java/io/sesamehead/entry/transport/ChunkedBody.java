package io.sesamehead.entry.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Body of a response that is sent in chunks. The chunks that are written between two flushes share one buffer, whereas the
 * codec would make three buffers of each chunk. Confined to the event loop.
 */
public final class ChunkedBody {
    /** Carriage return and line feed. */
    private static final int LINE_END = 0x0D0A;
    /** Maximum number of bytes around the body of a chunk: an {@code int} in hexadecimal and two ends of lines. */
    private static final int MAX_FRAME_BYTES = 12;

    private final ChannelHandlerContext codec;
    /** Chunks written since the last flush. */
    private Optional<ByteBuf> chunks = Optional.empty();

    /**
     * Creates a body without bytes.
     *
     * @param codec context of the HTTP codec, which encodes the head and the end of the response, but not the chunks
     */
    public ChunkedBody(ChannelHandlerContext codec) {
        this.codec = codec;
    }

    /**
     * Appends a chunk to the present buffer.
     *
     * @param bytes body of the chunk
     */
    public void write(byte[] bytes) {
        if (bytes.length == 0) {
            // A chunk without bytes would end the response.
            return;
        }
        if (chunks.isEmpty()) {
            chunks = Optional.of(codec.alloc().ioBuffer(MAX_FRAME_BYTES + bytes.length));
        }
        ByteBuf buffer = chunks.get();
        buffer.writeCharSequence(Integer.toHexString(bytes.length), StandardCharsets.US_ASCII);
        buffer.writeShort(LINE_END).writeBytes(bytes).writeShort(LINE_END);
    }

    /** Writes the present buffer, if there is one, to the channel, and does not flush the channel. */
    public void writeChunks() {
        chunks.ifPresent(codec::write);
        chunks = Optional.empty();
    }
}
