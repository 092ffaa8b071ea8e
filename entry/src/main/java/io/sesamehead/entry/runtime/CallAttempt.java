package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetEvidence;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.entry.port.ResponseMetadata;
import io.sesamehead.entry.protocol.EventScanner;
import io.sesamehead.entry.transport.ExchangeListener;
import io.sesamehead.entry.transport.HttpConnectionPool;

/**
 * One attempt to run a call at one target. Once it is superseded, nothing that it receives reaches the caller; it stays
 * open only while its target is silent, because it is the sign whether the target goes on. Confined to the event loop.
 */
final class CallAttempt implements AttemptListener {
    /** Maximum time for which a superseded attempt stays open, in milliseconds: a silent target is lost by then. */
    private static final long MAX_SUPERSEDED_MILLIS = 2_000;

    private final CallEnvironment environment;
    private final CallCrashes crashes;
    private final Owner owner;
    private final Target target;
    private final long sentAtMillis;
    private final long expectedMillis;
    /** Whether the attempt continues a stream that the caller has already begun to receive. */
    private final boolean resumed;

    private final EventScanner eventScanner = new EventScanner();
    /** Body of a response that is no stream. */
    private final ResponseBuffer buffer;

    private HttpConnectionPool.Exchange exchange;
    private boolean ended;
    private boolean notRun;
    private boolean refusedByUpstream;
    private boolean paused;
    private boolean superseded;
    private long supersededAtMillis;
    private boolean crashRecorded;
    private int eventsReceived;
    /** Whether the upstream sent what is no valid response, so that it did not crash. */
    private boolean faulty;

    private boolean advanced;
    /** Bytes of the request body and of the response received so far. */
    private long bytes;

    /** The call of an attempt. Apart from failures, it is told of nothing that a superseded attempt receives. */
    interface Owner {
        /** Called when a verified event stream begins. */
        void onStreamStart(CallAttempt attempt, HttpResponse head);

        /**
         * Receives a whole event.
         *
         * @return whether the event advances the stream
         */
        boolean onEvent(CallAttempt attempt, EventScanner.Event event);

        /** Called after the events that had arrived were received. */
        void onReadComplete();

        /**
         * Called when the stream has ended after a whole event.
         *
         * @param framed whether a length or chunks show that the stream is complete
         */
        void onStreamEnd(CallAttempt attempt, boolean framed);

        /** Receives a complete response from an upstream that ran the call. */
        void onResponse(CallAttempt attempt, HttpResponse head, byte[] body);

        /** Called when the upstream states that it did not run the call. */
        void onNotRun(CallAttempt attempt, HttpResponse head);

        /**
         * Called when the attempt is lost.
         *
         * @param sent whether any byte of the request may have reached the upstream
         * @param reason what went wrong, for the log
         */
        void onFailure(CallAttempt attempt, boolean sent, String reason);
    }

    CallAttempt(
            CallEnvironment environment,
            CallCrashes crashes,
            Owner owner,
            Target target,
            long expectedMillis,
            boolean resumed) {
        this.environment = environment;
        this.crashes = crashes;
        this.owner = owner;
        this.target = target;
        this.sentAtMillis = now();
        this.expectedMillis = expectedMillis;
        this.resumed = resumed;
        this.buffer = environment.responseBuffers().open(target.key().name(), this::onBufferEvicted);
    }

    void start(FullHttpRequest request, boolean idempotent, ExchangeListener listener) {
        if (viaPeer()) {
            // The peer sends the call on and counts it at the upstream.
            environment.targetTable().recordSent(target.key(), sentAtMillis);
        } else {
            environment.dispatcher().recordSent(target, sentAtMillis);
            environment.domainTraffic().recordSent(target);
        }
        bytes = request.content().readableBytes();
        exchange = environment.send(target, request, idempotent, listener);
        if (ended) {
            exchange.cancel();
        }
    }

    /** Returns whether another daemon passes the attempt on. It then judges the upstreams. */
    boolean viaPeer() {
        return target.key().isPeer();
    }

    Target target() {
        return target;
    }

    ResponseBuffer buffer() {
        return buffer;
    }

    TargetKey key() {
        return target.key();
    }

    int eventsReceived() {
        return eventsReceived;
    }

    /** Returns whether the attempt may still answer the call. */
    boolean isWaiting() {
        return !ended && !superseded;
    }

    boolean isSuperseded() {
        return superseded;
    }

    /** Returns whether it is known that the attempt did not run. */
    boolean isNotRun() {
        return notRun;
    }

    /** Returns whether an upstream received the attempt and stated that it did not run it. */
    boolean refusedByUpstream() {
        return refusedByUpstream;
    }

    boolean answerBegun() {
        return eventsReceived > 0;
    }

    void setAutoRead(boolean autoRead) {
        if (ended || exchange == null) {
            return;
        }
        exchange.setAutoRead(autoRead);
        if (autoRead) {
            recordResumed();
        } else if (!paused) {
            paused = true;
            environment.targetTable().recordPaused(target.key());
        }
    }

    private void recordResumed() {
        if (paused) {
            paused = false;
            environment.targetTable().recordResumed(target.key(), now());
        }
    }

    /** Excludes the attempt from answering the call. Cancels it unless its target is silent. */
    void supersede() {
        if (!isWaiting()) {
            return;
        }
        superseded = true;
        supersededAtMillis = now();
        setAutoRead(true);
        checkSuperseded();
    }

    /**
     * Cancels a superseded attempt if its target has gone on, is lost, or has been silent for long.
     *
     * @return whether the attempt is still open
     */
    boolean checkSuperseded() {
        if (ended) {
            return false;
        }
        boolean lost = environment.targetTable().isLost(target.key(), now());
        if (lost) {
            recordCrash();
        }
        boolean expired = now() - supersededAtMillis >= MAX_SUPERSEDED_MILLIS;
        if (lost || expired || !environment.isSilent(target.key())) {
            cancelUnanswered();
        }
        return !ended;
    }

    /** Cancels the attempt and remembers it, because its target may still crash. */
    void cancelUnanswered() {
        if (!ended) {
            if (!crashRecorded && !viaPeer()) {
                crashes.recordCancelled(target, sentAtMillis, answerBegun());
            }
            cancel();
        }
    }

    /** Counts a crash, at most once. */
    void recordCrash() {
        if (crashRecorded || viaPeer()) {
            return;
        }
        crashRecorded = true;
        crashes.recordCrash(target, sentAtMillis, answerBegun());
    }

    /** Cancels the attempt; anything that the upstream still sends is ignored. */
    private void cancel() {
        if (ended) {
            return;
        }
        markEnded();
        if (exchange != null) {
            exchange.cancel();
        }
    }

    private void markEnded() {
        ended = true;
        buffer.release();
        recordResumed();
        environment.targetTable().recordEnded(target.key());
        if (!viaPeer()) {
            environment.domainTraffic().recordBytes(target, bytes);
        }
    }

    private void recordProgress() {
        environment.targetTable().recordProgress(target.key(), now());
    }

    @Override
    public void onResponseHead(HttpResponse head, ResponseMetadata facts) {
        if (viaPeer()) {
            return;
        }
        if (facts.leaving()) {
            environment.recordLeaving(target.upstream());
        }
        // A misdirected request was answered by another upstream, which speaks for itself only.
        if (!head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
            environment.recordRateLimit(target.upstream(), facts.rateLimit());
        }
        if (head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                && head.headers().contains(HttpHeaderNames.RETRY_AFTER)) {
            environment.recordBusy(target.upstream().id(), head.headers());
        }
    }

    @Override
    public boolean onStreamStart(HttpResponse head) {
        if (ended) {
            return false;
        }
        recordProgress();
        if (superseded) {
            cancel();
            return false;
        }
        owner.onStreamStart(this, head);
        return true;
    }

    @Override
    public void onStreamData(byte[] data) {
        bytes += data.length;
        if (!ended && !eventScanner.feed(data, this::onEvent)) {
            onOversizedResponse("event exceeds the maximum size");
        }
    }

    @Override
    public void onReadComplete() {
        owner.onReadComplete();
    }

    /** Counts only whole events as progress, because a failing target may keep sending single bytes. */
    private void onEvent(EventScanner.Event event) {
        if (ended) {
            return;
        }
        recordProgress();
        if (superseded) {
            cancel();
            return;
        }
        eventsReceived++;
        if (eventsReceived == 1) {
            recordFirstEvent();
        }
        advanced |= owner.onEvent(this, event);
    }

    private void recordFirstEvent() {
        crashes.recordAnswered();
        long tookMillis = now() - sentAtMillis;
        environment.metrics().time("first_event_ms", tookMillis);
        environment.metrics().time("first_event_late_ms", tookMillis - expectedMillis);
    }

    @Override
    public void onStreamEnd(boolean framed) {
        if (ended) {
            return;
        }
        if (eventScanner.hasPartialEvent()) {
            onFailure(true, "response ended in the middle of an event");
            return;
        }
        if (resumed && !superseded && !advanced) {
            onFailure(true, "resumed stream ended without a new event");
            return;
        }
        markEnded();
        if (!superseded) {
            recordRunTime();
            owner.onStreamEnd(this, framed);
        }
    }

    private void recordRunTime() {
        if (!viaPeer()) {
            // The ended call is no longer in the table.
            int load = 1 + environment.targetTable().inFlight(target.key());
            environment.serviceTimes().recordRunTime(target, now() - sentAtMillis, load);
            environment.domainTraffic().recordSize(target, bytes);
        }
    }

    @Override
    public void onResponse(HttpResponse head, byte[] body) {
        if (ended) {
            return;
        }
        bytes += body.length;
        recordProgress();
        markEnded();
        if (!superseded) {
            recordRunTime();
            owner.onResponse(this, head, body);
        }
    }

    @Override
    public void onNotRun(HttpResponse head) {
        if (ended) {
            return;
        }
        recordProgress();
        markEnded();
        notRun = true;
        if (viaPeer()) {
            environment.peerForwarding().recordRefusal(target);
        } else {
            refusedByUpstream = true;
        }
        if (!superseded) {
            owner.onNotRun(this, head);
        }
    }

    @Override
    public void onFaultyResponse(String reason) {
        faulty = true;
        onFailure(true, reason);
    }

    @Override
    public void onOversizedResponse(String reason) {
        if (!ended && !viaPeer()) {
            environment.recordOversizedResponse(target.upstream());
        }
        onFaultyResponse(reason);
    }

    private void onBufferEvicted() {
        environment.metrics().count("responses_evicted");
        onOversizedResponse("response was given up for memory");
    }

    @Override
    public void onFailure(boolean sent, String reason) {
        if (ended) {
            return;
        }
        cancel();
        notRun = !sent;
        owner.onFailure(this, sent, reason);
    }

    /** Records a failure of the attempt as evidence against its target, unless the path to it is lost. */
    void recordFailure() {
        if (viaPeer()) {
            environment.peerForwarding().recordFailure(target);
        } else if (notRun || environment.targetTable().isPathLost(target.key(), now())) {
            environment.recordUnreachable(target);
        } else if (faulty) {
            environment.recordFaultyResponse(target);
        } else {
            recordCrash();
            environment.onTargetEvidence(target.key(), new TargetEvidence.AttemptFailed());
        }
    }

    private long now() {
        return environment.clocks().steadyMillis();
    }
}
