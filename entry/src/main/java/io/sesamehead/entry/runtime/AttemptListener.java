package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.HttpResponse;
import io.sesamehead.entry.port.ResponseMetadata;

/** Takes what an upstream answered to one attempt, as far as it can be trusted. */
interface AttemptListener {
    /** Takes what any answer on the attempt's connection states of its upstream, whether the answer counts or not. */
    void onResponseHead(HttpResponse head, ResponseMetadata facts);

    /** Takes the head of a good event stream. Returns false if nobody wants the stream any more. */
    boolean onStreamStart(HttpResponse head);

    /** Takes bytes of the stream. */
    void onStreamData(byte[] bytes);

    /** Takes the complete end of the stream. */
    void onStreamEnd();

    /** Takes a complete answer of an upstream that ran the call. */
    void onResponse(HttpResponse head, byte[] body);

    /** Takes the upstream's statement that it did not run the call. */
    void onNotRun(HttpResponse head);

    /** Takes the loss of the attempt. */
    void onFailure(boolean sent, String reason);
}
