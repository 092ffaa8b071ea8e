package io.sesamehead.entry.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against waiting for the body of a response to HEAD, and against reuse of a connection with leftover bytes. */
final class ResponseDecoderTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

    private final ResponseDecoder decoder = new ResponseDecoder(4_096, 8_192, 8_192);
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** Returns the body of the next complete response. */
    private String nextBody() {
        channel.readInbound();
        StringBuilder body = new StringBuilder();
        HttpContent content;
        do {
            content = channel.readInbound();
            body.append(content.content().toString(StandardCharsets.ISO_8859_1));
            content.release();
        } while (!(content instanceof LastHttpContent));
        return body.toString();
    }

    @Test
    void endsResponseToHeadRequestWithoutBody() {
        decoder.expectResponse(true);
        receive(HEAD);
        assertThat(nextBody()).isEmpty();

        decoder.expectResponse(false);
        receive(HEAD + "done");
        assertThat(nextBody()).isEqualTo("done");
        assertThat(decoder.hasUndecodedBytes()).isFalse();
    }

    @Test
    void reportsBytesAfterCompleteResponse() {
        receive(HEAD + "doneHTTP/1.1 200 ");

        assertThat(nextBody()).isEqualTo("done");
        assertThat(decoder.hasUndecodedBytes()).isTrue();
    }
}
