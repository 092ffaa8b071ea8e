package io.sesamehead.entry.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against several buffers or writes for the events of one read, and against malformed chunks. */
final class ChunkedBodyTest {
    private final EmbeddedChannel channel = new EmbeddedChannel(new HttpServerCodec());
    private final ChunkedBody body = new ChunkedBody(channel.pipeline().context(HttpServerCodec.class));

    private List<String> written() {
        channel.flush();
        List<String> buffers = new ArrayList<>();
        for (ByteBuf bytes = channel.readOutbound(); bytes != null; bytes = channel.readOutbound()) {
            buffers.add(bytes.toString(StandardCharsets.US_ASCII));
            bytes.release();
        }
        return buffers;
    }

    private void write(String text) {
        body.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void writesEventsOfOneReadInOneBuffer() {
        write("id: 1\n\n");
        write("id: 2\n\n");
        write("");
        body.writeChunks();

        assertThat(written()).containsExactly("7\r\nid: 1\n\n\r\n7\r\nid: 2\n\n\r\n");
    }

    @Test
    void writesNothingBetweenReads() {
        body.writeChunks();

        assertThat(written()).isEmpty();
    }

    @Test
    void codecEndsBodyAfterChunks() {
        DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.write(head);
        write("x".repeat(300));
        body.writeChunks();
        channel.write(LastHttpContent.EMPTY_LAST_CONTENT);

        assertThat(String.join("", written())).endsWith("\r\n\r\n12c\r\n" + "x".repeat(300) + "\r\n0\r\n\r\n");
    }
}
