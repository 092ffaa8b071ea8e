package io.sesamehead.entry.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against a peer whose time to come back is ignored, and against one that blocks itself or the reader for good. */
final class RetryAfterHeaderTest {
    private static final long MAX_MILLIS = 300_000;

    private static OptionalLong millis(String value) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.RETRY_AFTER, value);
        headers.set(HttpHeaderNames.DATE, "Fri, 04 Dec 2026 10:00:00 GMT");
        return RetryAfterHeader.delayMillis(headers, MAX_MILLIS);
    }

    @Test
    void readsSecondsFractionsAndDates() {
        assertThat(millis("3")).hasValue(3_000);
        assertThat(millis("0.25")).hasValue(250);
        assertThat(millis("Fri, 04 Dec 2026 10:00:07 GMT")).hasValue(7_000);
    }

    @Test
    void clampsHugeAndPastTimes() {
        assertThat(millis("99999999999999999999")).hasValue(MAX_MILLIS);
        assertThat(millis("Fri, 04 Dec 2099 10:00:00 GMT")).hasValue(MAX_MILLIS);
        assertThat(millis("Fri, 04 Dec 2026 09:00:00 GMT")).hasValue(0);
    }

    @Test
    void ignoresMalformedValues() {
        assertThat(millis("-3")).isEmpty();
        assertThat(millis("soon")).isEmpty();
        assertThat(millis("1.2.3")).isEmpty();
        assertThat(millis("9".repeat(5_000))).isEmpty();
        assertThat(RetryAfterHeader.delayMillis(new DefaultHttpHeaders(), MAX_MILLIS))
                .isEmpty();
    }
}
