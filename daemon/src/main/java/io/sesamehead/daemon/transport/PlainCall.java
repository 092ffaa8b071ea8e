package io.sesamehead.daemon.transport;

/**
 * A caller's call to a plain service.
 *
 * @param method {@code GET}, {@code POST} or {@code PUT}
 * @param path path and query as the caller encoded them, without the leading slash
 * @param contentType content type of the body, may be empty
 * @param body the body, may be empty
 */
public record PlainCall(String method, String path, String contentType, byte[] body) {}
