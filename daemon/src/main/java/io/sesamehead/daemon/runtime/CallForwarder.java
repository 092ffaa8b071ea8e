package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.inject.Inject;
import com.google.inject.Provider;
import com.google.inject.Singleton;
import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.daemon.protocol.ForwardMessages;
import io.sesamehead.daemon.protocol.PeerMessages;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.CallReference;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Forward;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Suspect;
import io.sesamehead.daemon.transport.Broadcaster;
import io.sesamehead.daemon.transport.Cancellation;
import io.sesamehead.daemon.transport.FrameCounters;
import io.sesamehead.daemon.transport.PeerConnection;
import io.sesamehead.daemon.transport.SendGate;
import io.sesamehead.daemon.transport.TokenSink;
import io.sesamehead.daemon.transport.UpstreamResult;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.ServiceName;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Calls that this daemon forwards to other failure domains, and news of suspects. */
@Singleton
public final class CallForwarder implements PeerFrameDispatcher.CallFrameListener, RemoteCalls, CrashNotifier {
    private final Broadcaster broadcast;
    private final RemoteServiceTable remoteServices;
    private final IncomingForwards incoming;
    private final Provider<CallRuntime> calls;
    private final FrameCounters counters;
    private final MonotonicClock clock;
    private final AtomicInteger attempts = new AtomicInteger();
    private final Map<CallReference, OutgoingForward> outgoing = new ConcurrentHashMap<>();

    /**
     * Creates the forwarding without calls.
     *
     * @param broadcast connections to peers
     * @param remoteServices what the other failure domains serve
     * @param incoming calls that others forwarded
     * @param calls learns of suspects
     * @param counters counts frames that match no live call
     * @param clock monotonic clock
     */
    @Inject
    public CallForwarder(
            Broadcaster broadcast,
            RemoteServiceTable remoteServices,
            IncomingForwards incoming,
            Provider<CallRuntime> calls,
            FrameCounters counters,
            MonotonicClock clock) {
        this.broadcast = broadcast;
        this.remoteServices = remoteServices;
        this.incoming = incoming;
        this.calls = calls;
        this.counters = counters;
        this.clock = clock;
    }

    @Override
    public Optional<FailureDomain> choose(ServiceName service, ImmutableSet<FailureDomain> tried) {
        List<FailureDomain> candidates = broadcast.remotePeers().stream()
                .filter(connection -> remoteServices.serves(connection, service))
                .map(connection -> new FailureDomain(connection.peer().getFailureDomain()))
                .distinct()
                .filter(domain -> !tried.contains(domain))
                .toList();
        return pickRandom(candidates);
    }

    private static <T> Optional<T> pickRandom(List<T> candidates) {
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(ThreadLocalRandom.current().nextInt(candidates.size())));
    }

    @Override
    public UpstreamResult complete(
            FailureDomain target,
            ForwardedCompletion call,
            Duration deadline,
            Cancellation cancellation,
            SendGate gate,
            TokenSink sink) {
        Optional<PeerConnection> connection = pickRandom(broadcast.remotePeers().stream()
                .filter(it -> it.peer().getFailureDomain().equals(target.value()))
                .filter(it -> remoteServices.serves(it, call.service()))
                .toList());
        if (connection.isEmpty()) {
            return new UpstreamResult.NotSent("no relay of " + target + " is connected");
        }
        CallReference reference = CallReference.newBuilder()
                .setRequest(call.request().value())
                .setAttempt(attempts.incrementAndGet())
                .setConnection(connection.get().incarnation())
                .build();
        OutgoingForward forward = new OutgoingForward(connection.get());
        Runnable cancel = () -> forward.endEarly(new UpstreamResult.Cancelled());
        outgoing.put(reference, forward);
        cancellation.onCancel(cancel);
        try {
            return exchange(reference, forward, call, deadline, gate, sink);
        } finally {
            cancellation.remove(cancel);
            outgoing.remove(reference);
        }
    }

    private UpstreamResult exchange(
            CallReference reference,
            OutgoingForward forward,
            ForwardedCompletion call,
            Duration deadline,
            SendGate gate,
            TokenSink sink) {
        long deadlineMillis = clock.millis() + deadline.toMillis();
        Frame frame = ForwardMessages.start(message(reference, call, deadline));
        if (!gate.maySend()) {
            return new UpstreamResult.NotSent("the call ended before it was forwarded");
        }
        if (!forward.connection().send(frame)) {
            return new UpstreamResult.NotSent("the connection to the other failure domain is full or closed");
        }
        if (!forward.connection().active()) {
            return new UpstreamResult.Lost("the connection to the other failure domain closed");
        }
        UpstreamResult result = forward.await(deadlineMillis, clock::millis, sink);
        boolean ended = result instanceof UpstreamResult.Finished
                || result instanceof UpstreamResult.Refused
                || result instanceof UpstreamResult.Failed;
        if (!ended) {
            forward.connection().send(ForwardMessages.cancel(reference));
        }
        return result;
    }

    private static Forward message(CallReference reference, ForwardedCompletion call, Duration deadline) {
        return Forward.newBuilder()
                .setCall(reference)
                .setHops(IncomingForwards.ALLOWED_HOPS)
                .setRemainingMillis(PeerMessages.clampToInt(deadline.toMillis()))
                .setService(call.service().value())
                .setAccount(call.account().value())
                .setFingerprint(call.fingerprint().value())
                .setPrompt(call.prompt())
                .setMaxTokens(call.maxTokens())
                .setResumeFrom(call.resumeFrom())
                .setPriority(call.priority())
                .setRepeatable(call.repeatable())
                .build();
    }

    @Override
    public void send(ImmutableMap<Fingerprint, Integer> crashes) {
        crashes.forEach((fingerprint, count) -> broadcast.sendToDialledPeers(Frame.newBuilder()
                .setSuspect(
                        Suspect.newBuilder().setFingerprint(fingerprint.value()).setCrashes(count))
                .build()));
    }

    @Override
    public void received(PeerConnection connection, Frame frame) {
        switch (frame.getBodyCase()) {
            case FORWARD -> incoming.start(connection, frame.getForward());
            case FORWARD_CANCEL ->
                incoming.cancel(connection, frame.getForwardCancel().getCall());
            case FORWARD_EVENT ->
                find(connection, frame.getForwardEvent().getCall())
                        .ifPresent(forward -> forward.token(frame.getForwardEvent()));
            case FORWARD_END ->
                find(connection, frame.getForwardEnd().getCall())
                        .ifPresent(forward -> forward.end(frame.getForwardEnd()));
            case SUSPECT -> mergeSuspect(connection, frame);
            default -> throw new IllegalArgumentException("not a frame of a call: " + frame.getBodyCase());
        }
    }

    private Optional<OutgoingForward> find(PeerConnection connection, CallReference call) {
        OutgoingForward forward = outgoing.get(call);
        if (forward == null || forward.connection() != connection) {
            counters.unmatched();
            return Optional.empty();
        }
        return Optional.of(forward);
    }

    /** Only relays hear of suspects from other failure domains, so they pass the news on within their own. */
    private void mergeSuspect(PeerConnection connection, Frame frame) {
        Suspect suspect = frame.getSuspect();
        calls.get().suspects().mergeCrashCount(new Fingerprint(suspect.getFingerprint()), suspect.getCrashes(), clock.millis());
        if (!broadcast.isLocal(connection)) {
            broadcast.sendToLocalPeers(frame);
        }
    }

    @Override
    public void disconnected(PeerConnection connection) {
        incoming.disconnected(connection);
        outgoing.values().stream()
                .filter(forward -> forward.connection() == connection)
                .forEach(forward ->
                        forward.endEarly(new UpstreamResult.Lost("the connection to the other failure domain broke")));
    }
}
