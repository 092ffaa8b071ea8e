package io.sesamehead.daemon.runtime;

import com.google.inject.Inject;
import com.google.inject.Provider;
import com.google.inject.Singleton;
import io.sesamehead.coordination.drain.ShutdownPhase;
import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.daemon.protocol.ForwardMessages;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.CallReference;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Forward;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.transport.Cancellation;
import io.sesamehead.daemon.transport.FrameCounters;
import io.sesamehead.daemon.transport.PeerConnection;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.Outcome;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.ServiceName;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Calls that other failure domains forwarded to this daemon. */
@Singleton
public final class IncomingForwards {
    /** A call may cross one link between failure domains, so that two of them cannot pass it back and forth. */
    static final int ALLOWED_HOPS = 1;

    private static final long WRITABLE_POLL_MILLIS = 5;
    private static final long WRITABLE_WAIT_MILLIS = 5_000;

    private final DaemonTables tables;
    private final Provider<CallRuntime> calls;
    private final FrameCounters counters;
    private final MonotonicClock clock;
    private final Map<ForwardKey, Cancellation> cancellations = new ConcurrentHashMap<>();

    private record ForwardKey(PeerConnection connection, CallReference call) {}

    /**
     * Creates the receiver without calls.
     *
     * @param tables the tables of this daemon
     * @param calls runs the calls
     * @param counters counts frames that match no live call
     * @param clock monotonic clock
     */
    @Inject
    public IncomingForwards(
            DaemonTables tables, Provider<CallRuntime> calls, FrameCounters counters, MonotonicClock clock) {
        this.tables = tables;
        this.calls = calls;
        this.counters = counters;
        this.clock = clock;
    }

    /**
     * Returns the number of open calls.
     *
     * @return the count
     */
    public int openCalls() {
        return cancellations.size();
    }

    void start(PeerConnection connection, Forward forward) {
        CallReference call = forward.getCall();
        ForwardKey key = new ForwardKey(connection, call);
        Cancellation cancellation = new Cancellation();
        boolean stale = call.getConnection() != connection.incarnation();
        if (stale || cancellations.putIfAbsent(key, cancellation) != null) {
            counters.unmatched();
            return;
        }
        long deadlineMillis = clock.millis() + forward.getRemainingMillis();
        Thread.ofVirtual().name("forward").start(() -> {
            try {
                connection.send(run(connection, forward, deadlineMillis, cancellation));
            } finally {
                cancellations.remove(key);
            }
        });
    }

    private Frame run(PeerConnection connection, Forward forward, long deadlineMillis, Cancellation cancellation) {
        CallReference call = forward.getCall();
        if (forward.getHops() != ALLOWED_HOPS) {
            return refusal(call, ErrorKind.NO_GROUP, "the call was forwarded too often");
        }
        if (tables.shutdown().phase() != ShutdownPhase.RUNNING) {
            return refusal(call, ErrorKind.SHUTTING_DOWN, "the daemon is shutting down");
        }
        try {
            ForwardedCallRunner.Result result = calls.get()
                    .forwarded()
                    .run(completion(forward), deadlineMillis, cancellation, (index, text) -> {
                        return sendToken(connection, ForwardMessages.token(call, index, text));
                    });
            return ForwardMessages.end(call, result.outcome(), result.count(), result.finish());
        } catch (RuntimeException e) {
            Logger.error(e, "route: a forwarded call from {} failed", connection);
            return refusal(call, ErrorKind.INTERNAL, "internal error");
        }
    }

    /** Waits while the connection's queue is full; a token must not be dropped silently. */
    private static boolean sendToken(PeerConnection connection, Frame frame) {
        try {
            for (long waited = 0; !connection.writable(); waited += WRITABLE_POLL_MILLIS) {
                if (!connection.active() || waited > WRITABLE_WAIT_MILLIS) {
                    return false;
                }
                TimeUnit.MILLISECONDS.sleep(WRITABLE_POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
        return connection.send(frame);
    }

    void cancel(PeerConnection connection, CallReference call) {
        Cancellation cancellation = cancellations.get(new ForwardKey(connection, call));
        if (cancellation == null) {
            counters.unmatched();
            return;
        }
        cancellation.cancel();
    }

    void disconnected(PeerConnection connection) {
        cancellations.forEach((key, cancellation) -> {
            if (key.connection() == connection) {
                cancellation.cancel();
            }
        });
    }

    private static Frame refusal(CallReference call, ErrorKind kind, String detail) {
        return ForwardMessages.end(call, Outcome.of(kind, detail), 0, "");
    }

    private static ForwardedCompletion completion(Forward forward) {
        return new ForwardedCompletion(
                new RequestId(forward.getCall().getRequest()),
                new ServiceName(forward.getService()),
                new ClientAccount(forward.getAccount()),
                new Fingerprint(forward.getFingerprint()),
                forward.getPrompt(),
                forward.getMaxTokens(),
                forward.getResumeFrom(),
                forward.getPriority(),
                forward.getRepeatable());
    }
}
