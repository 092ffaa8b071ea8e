package io.sesamehead.daemon.transport;

/**
 * A caller's call to a plain service.
 *
 * @param method {@code GET}, {@code POST} or {@code PUT}
 * @param path path and query without the leading slash, encoded as received from the caller
 * @param contentType content type of the body, may be empty
 * @param body the body, may be empty
 */
public record PlainCall(String method, String path, String contentType, byte[] body) {}
