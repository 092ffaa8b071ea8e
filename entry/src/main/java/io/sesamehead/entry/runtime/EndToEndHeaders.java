package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Copies headers without those that concern one connection only. */
final class EndToEndHeaders {
    private static final List<CharSequence> HOP_BY_HOP = List.of(
            HttpHeaderNames.CONNECTION,
            "Keep-Alive",
            "Proxy-Connection",
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT,
            HttpHeaderNames.CONTENT_LENGTH);

    private EndToEndHeaders() {}

    /** Copies headers; the length is left out, as each side frames the body itself. */
    static HttpHeaders copyOf(HttpHeaders headers) {
        HttpHeaders copy =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        copy.add(headers);
        for (String connection : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : connection.split(",")) {
                copy.remove(name.trim());
            }
        }
        HOP_BY_HOP.forEach(copy::remove);
        return copy;
    }

    /** Returns empty headers. */
    static HttpHeaders empty() {
        return new DefaultHttpHeaders();
    }
}
