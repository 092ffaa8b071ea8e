package io.sesamehead.daemon.protocol;

import io.sesamehead.daemon.protocol.generated.PeerProtocol.CallReference;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Forward;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.ForwardCancel;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.ForwardEnd;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.ForwardEvent;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.Outcome;

/** Builds the frames of calls between failure domains. */
public final class ForwardMessages {
    private ForwardMessages() {}

    /**
     * Builds the frame that starts a call.
     *
     * @param forward the call
     * @return the frame
     */
    public static Frame start(Forward forward) {
        return Frame.newBuilder().setForward(forward).build();
    }

    /**
     * Builds the frame of one token.
     *
     * @param call the attempt
     * @param index position of the token
     * @param text the token
     * @return the frame
     */
    public static Frame token(CallReference call, int index, String text) {
        return Frame.newBuilder()
                .setForwardEvent(
                        ForwardEvent.newBuilder().setCall(call).setIndex(index).setText(text))
                .build();
    }

    /**
     * Builds the frame that ends a call.
     *
     * @param call the attempt
     * @param outcome how the call ended
     * @param count tokens of the whole answer, when it ran
     * @param finish finish reason, when it ran
     * @return the frame
     */
    public static Frame end(CallReference call, Outcome outcome, int count, String finish) {
        ForwardEnd.Builder end = ForwardEnd.newBuilder().setCall(call);
        switch (outcome) {
            case Outcome.Ran ran -> end.setCount(count).setFinish(finish);
            case Outcome.NotRun(ErrorKind kind, String detail) -> error(end, kind, detail);
            case Outcome.RanWithError(ErrorKind kind, String detail) -> error(end, kind, detail);
            case Outcome.MayHaveRun(ErrorKind kind, String detail) -> error(end, kind, detail);
        }
        return Frame.newBuilder().setForwardEnd(end).build();
    }

    private static void error(ForwardEnd.Builder end, ErrorKind kind, String detail) {
        end.setErrorKind(kind.name()).setDetail(detail);
    }

    /**
     * Builds the frame that cancels a call.
     *
     * @param call the attempt
     * @return the frame
     */
    public static Frame cancel(CallReference call) {
        return Frame.newBuilder()
                .setForwardCancel(ForwardCancel.newBuilder().setCall(call))
                .build();
    }

    /**
     * Reads how a call ended.
     *
     * @param end the message
     * @return the outcome
     * @throws IllegalArgumentException if the error kind is unknown
     */
    public static Outcome outcome(ForwardEnd end) {
        if (end.getErrorKind().isEmpty()) {
            return new Outcome.Ran();
        }
        return Outcome.of(ErrorKind.valueOf(end.getErrorKind()), end.getDetail());
    }
}
