package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * One request of a caller, read whole.
 *
 * @param method HTTP method
 * @param target path and query as sent
 * @param headers the caller's headers
 * @param body the body
 * @param hasBody whether the caller sent a body, possibly empty
 * @param arrivedAtMillis steady time at which its head arrived
 */
record CallRequest(
        HttpMethod method, String target, HttpHeaders headers, byte[] body, boolean hasBody, long arrivedAtMillis) {}
