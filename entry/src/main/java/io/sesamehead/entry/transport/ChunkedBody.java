package io.sesamehead.entry.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import java.util.Optional;

/**
 * Body of a response that is sent in chunks. What is written between two flushes becomes one chunk in one buffer, whereas
 * the codec would make three buffers of each write. Confined to the event loop.
 */
public final class ChunkedBody {
    private static final int HEXADECIMAL = 16;
    /** Carriage return and line feed. */
    private static final int LINE_END = 0x0D0A;

    private static final int LINE_END_BYTES = 2;
    /** Maximum size of the head of a chunk: an {@code int} in hexadecimal and the end of the line. */
    private static final int MAX_HEAD_BYTES = 10;

    private final ChannelHandlerContext codec;
    /** Bytes written since the last flush, after space for the head of their chunk. */
    private Optional<ByteBuf> chunk = Optional.empty();

    /**
     * Creates a body without bytes.
     *
     * @param codec context of the HTTP codec, which encodes the head and the end of the response, but not the chunks
     */
    public ChunkedBody(ChannelHandlerContext codec) {
        this.codec = codec;
    }

    /**
     * Appends bytes to the present chunk.
     *
     * @param bytes the bytes
     */
    public void write(byte[] bytes) {
        if (bytes.length == 0) {
            // A chunk without bytes would end the response.
            return;
        }
        if (chunk.isEmpty()) {
            chunk = Optional.of(codec.alloc()
                    .ioBuffer(MAX_HEAD_BYTES + bytes.length + LINE_END_BYTES)
                    .setIndex(MAX_HEAD_BYTES, MAX_HEAD_BYTES));
        }
        chunk.get().writeBytes(bytes);
    }

    /** Writes the present chunk, if there is one, to the channel, and does not flush the channel. */
    public void writeChunk() {
        chunk.ifPresent(bytes -> codec.write(frame(bytes)));
        chunk = Optional.empty();
    }

    private static ByteBuf frame(ByteBuf bytes) {
        int start = bytes.readerIndex() - LINE_END_BYTES;
        bytes.setShort(start, LINE_END);
        int size = bytes.readableBytes();
        while (size > 0) {
            start--;
            bytes.setByte(start, Character.forDigit(size % HEXADECIMAL, HEXADECIMAL));
            size /= HEXADECIMAL;
        }
        bytes.readerIndex(start);
        return bytes.writeShort(LINE_END);
    }
}
