package io.sesamehead.daemon.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import java.io.IOException;
import java.util.List;

/** Encodes and decodes frames with a four-byte length prefix, and counts the frames in both directions. */
final class FrameCodec extends ByteToMessageCodec<Frame> {
    /** Maximum size of a frame: a body or note of 1 MiB plus headers. */
    static final int MAX_FRAME_BYTES = 2 << 20;

    private static final int PREFIX_BYTES = Integer.BYTES;

    private final FrameCounters counters;

    FrameCodec(FrameCounters counters) {
        super(Frame.class);
        this.counters = counters;
    }

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) throws IOException {
        int size = frame.getSerializedSize();
        out.writeInt(size);
        try (ByteBufOutputStream stream = new ByteBufOutputStream(out)) {
            frame.writeTo(stream);
        }
        counters.sent(frame, size + PREFIX_BYTES);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws IOException {
        if (in.readableBytes() < PREFIX_BYTES) {
            return;
        }
        int size = in.getInt(in.readerIndex());
        if (size < 0 || size > MAX_FRAME_BYTES) {
            throw new CorruptedFrameException("invalid frame length: " + size + " bytes");
        }
        if (in.readableBytes() < PREFIX_BYTES + size) {
            return;
        }
        in.skipBytes(PREFIX_BYTES);
        try (ByteBufInputStream stream = new ByteBufInputStream(in, size)) {
            Frame frame = Frame.parseFrom(stream);
            counters.received(frame, size + PREFIX_BYTES);
            out.add(frame);
        }
    }
}
