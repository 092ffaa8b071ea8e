package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request of a caller.
 *
 * @param method HTTP method
 * @param target path and query, unchanged
 * @param headers the caller's headers
 * @param body the body
 * @param hasBody whether the request has a body, which may be empty
 * @param arrivedAtMillis steady time at which the request head arrived, in milliseconds
 */
record CallRequest(
        HttpMethod method, String target, HttpHeaders headers, byte[] body, boolean hasBody, long arrivedAtMillis) {}
