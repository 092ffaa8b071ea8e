package io.sesamehead.entry.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against events that reach a caller truncated, duplicated or out of order. */
final class EventScannerTest {
    private final EventScanner scanner = new EventScanner();
    private final List<EventScanner.Event> events = new ArrayList<>();

    private void feed(String text) {
        assertThat(scanner.feed(text.getBytes(StandardCharsets.UTF_8), events::add))
                .isTrue();
    }

    private static String text(EventScanner.Event event) {
        return new String(event.bytes(), StandardCharsets.UTF_8);
    }

    @Test
    void emitsWholeEventsFromSingleBytes() {
        String stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
        for (char letter : stream.toCharArray()) {
            feed(String.valueOf(letter));
        }

        assertThat(events)
                .extracting(EventScannerTest::text)
                .containsExactly("id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n");
        assertThat(events.get(1).numericId()).hasValue(2);
        assertThat(scanner.hasPartialEvent()).isFalse();
    }

    @Test
    void holdsBackPartialEvent() {
        feed("id: 1\ndata: a\n\nid: 2\nda");

        assertThat(events).hasSize(1);
        assertThat(scanner.hasPartialEvent()).isTrue();
    }

    @Test
    void findsIdInLaterLineOnly() {
        feed("data: id: 3\nid:4\r\n\n");

        assertThat(events.get(0).numericId()).hasValue(4);
    }

    @Test
    void keepsNonNumericId() {
        feed("id: x-7\ndata: a\n\n");

        assertThat(events.get(0).id()).contains("x-7");
        assertThat(events.get(0).numericId()).isEmpty();
    }
}
