package io.sesamehead.daemon.runtime;

import io.sesamehead.daemon.protocol.ForwardMessages;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.ForwardEnd;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.ForwardEvent;
import io.sesamehead.daemon.transport.PeerConnection;
import io.sesamehead.daemon.transport.TokenSink;
import io.sesamehead.daemon.transport.UpstreamResult;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.Outcome;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** One attempt that runs in another failure domain, as seen by the daemon that forwarded it. */
final class OutgoingForward {
    /** Tokens that may wait for a slow caller before the attempt is given up. */
    private static final int QUEUE_LENGTH = 4_096;

    private final PeerConnection connection;
    private final BlockingQueue<Item> items = new ArrayBlockingQueue<>(QUEUE_LENGTH);
    private volatile Optional<UpstreamResult> earlyResult = Optional.empty();

    private sealed interface Item {
        record Token(int index, String text) implements Item {}

        record End(UpstreamResult result) implements Item {}
    }

    OutgoingForward(PeerConnection connection) {
        this.connection = connection;
    }

    PeerConnection connection() {
        return connection;
    }

    void token(ForwardEvent event) {
        if (!items.offer(new Item.Token(event.getIndex(), event.getText()))) {
            endEarly(new UpstreamResult.Lost("the caller is too slow for the stream"));
        }
    }

    void end(ForwardEnd end) {
        UpstreamResult result = result(end);
        if (!items.offer(new Item.End(result))) {
            endEarly(new UpstreamResult.Lost("the caller is too slow for the stream"));
        }
    }

    /** Ends the attempt without the other side; tokens that wait are dropped and come again with the next attempt. */
    void endEarly(UpstreamResult result) {
        earlyResult = Optional.of(result);
        items.clear();
        items.offer(new Item.End(result));
    }

    /** Delivers tokens until the attempt ends. */
    UpstreamResult await(long deadlineMillis, LongSupplier clock, TokenSink sink) {
        try {
            while (earlyResult.isEmpty()) {
                long remainingMillis = deadlineMillis - clock.getAsLong();
                Item item = remainingMillis <= 0 ? null : items.poll(remainingMillis, TimeUnit.MILLISECONDS);
                if (item == null) {
                    return new UpstreamResult.DeadlinePassed("the deadline passed in another failure domain");
                }
                if (item instanceof Item.End(UpstreamResult result)) {
                    return result;
                }
                if (item instanceof Item.Token(int index, String text) && !sink.accept(index, text)) {
                    return new UpstreamResult.Cancelled();
                }
            }
            return earlyResult.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new UpstreamResult.Cancelled();
        }
    }

    private static UpstreamResult result(ForwardEnd end) {
        return switch (ForwardMessages.outcome(end)) {
            case Outcome.Ran ran -> new UpstreamResult.Finished(end.getCount(), end.getFinish());
            case Outcome.NotRun(ErrorKind kind, String detail) -> new UpstreamResult.Refused(detail);
            case Outcome.RanWithError(ErrorKind kind, String detail) ->
                new UpstreamResult.Failed(kind.status(), detail);
            case Outcome.MayHaveRun(ErrorKind kind, String detail) ->
                kind == ErrorKind.DEADLINE_DURING_RUN
                        ? new UpstreamResult.DeadlinePassed(detail)
                        : new UpstreamResult.Lost(detail);
        };
    }
}
