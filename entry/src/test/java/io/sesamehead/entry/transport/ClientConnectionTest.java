package io.sesamehead.entry.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a read whose end is not told, so that what it brought would not be sent on. */
final class ClientConnectionTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final List<String> events = new ArrayList<>();
    private final ResponseDecoder decoder = new ResponseDecoder(8_192, 8_192, 8_192);
    private final ClientConnection connection = new ClientConnection(decoder, idle -> {}, closed -> {});
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder, new HttpRequestEncoder(), connection);

    @BeforeEach
    void send() {
        connection.send(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x"), new RecordingListener());
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Test
    void tellsEndOfReadOnceForSeveralEvents() {
        receive(HEAD);
        receive("1\r\na\r\n1\r\nb\r\n");

        assertThat(events).containsExactly("head", "read", "a", "b", "read");
    }

    @Test
    void tellsEndOfReadWithWhichResponseEnds() {
        receive(HEAD + "1\r\na\r\n0\r\n\r\n");

        assertThat(events).containsExactly("head", "a", "end", "read");
    }

    @Test
    void tellsEndOfReadBeforeFailureOfExchange() {
        receive(HEAD + "1\r\na\r\nnot a chunk\r\n");

        assertThat(events).containsExactly("head", "a", "read", "failed");
    }

    private final class RecordingListener implements ExchangeListener {
        @Override
        public Optional<String> requestId() {
            return Optional.of("1");
        }

        @Override
        public boolean accepts(HttpResponse head, boolean onlyRequest) {
            return true;
        }

        @Override
        public void onHead(HttpResponse head) {
            events.add("head");
        }

        @Override
        public void onContent(ByteBuf data) {
            events.add(data.toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void onReadComplete() {
            events.add("read");
        }

        @Override
        public void onEnd() {
            events.add("end");
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            events.add("failed");
        }
    }
}
