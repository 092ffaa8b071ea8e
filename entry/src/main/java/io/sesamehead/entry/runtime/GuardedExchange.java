package io.sesamehead.entry.runtime;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.sesamehead.entry.transport.ExchangeListener;
import java.util.Optional;

/**
 * Passes the events of an exchange on and ends their call if one cannot be handled. The connection would take the
 * exception for a failure of the upstream, or would no longer know whom to tell.
 */
final class GuardedExchange implements ExchangeListener {
    private static final String TASK = "handle-response";

    private final ExchangeListener listener;
    private final EventLoopTasks tasks;
    private final Runnable onFailure;

    /**
     * Creates a guard.
     *
     * @param listener receives the events
     * @param tasks logs failures
     * @param onFailure ends the call
     */
    GuardedExchange(ExchangeListener listener, EventLoopTasks tasks, Runnable onFailure) {
        this.listener = listener;
        this.tasks = tasks;
        this.onFailure = onFailure;
    }

    @Override
    public Optional<String> requestId() {
        return listener.requestId();
    }

    @Override
    public boolean accepts(HttpResponse head, boolean onlyRequest) {
        try {
            return listener.accepts(head, onlyRequest);
        } catch (RuntimeException e) {
            tasks.recordFailure(TASK, e);
            onFailure.run();
            return false;
        }
    }

    @Override
    public void onHead(HttpResponse head) {
        tasks.run(TASK, () -> listener.onHead(head), onFailure);
    }

    @Override
    public void onContent(ByteBuf data) {
        tasks.run(TASK, () -> listener.onContent(data), onFailure);
    }

    @Override
    public void onReadComplete() {
        tasks.run(TASK, listener::onReadComplete, onFailure);
    }

    @Override
    public void onEnd() {
        tasks.run(TASK, listener::onEnd, onFailure);
    }

    @Override
    public void onFaultyResponse(String reason) {
        tasks.run(TASK, () -> listener.onFaultyResponse(reason), onFailure);
    }

    @Override
    public void onFailure(boolean sent, String reason) {
        tasks.run(TASK, () -> listener.onFailure(sent, reason), onFailure);
    }
}
