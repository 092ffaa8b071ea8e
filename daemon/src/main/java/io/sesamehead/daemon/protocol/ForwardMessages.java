package io.sesamehead.daemon.protocol;

import io.sesamehead.daemon.protocol.generated.PeerProtocol.CallReference;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Forward;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.ForwardCancel;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.ForwardEnd;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.ForwardEvent;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.Outcome;

/** Builds the frames of calls that are forwarded between failure domains. */
public final class ForwardMessages {
    private ForwardMessages() {}

    /**
     * Builds the frame that starts a forwarded call.
     *
     * @param forward the call
     * @return the frame
     */
    public static Frame start(Forward forward) {
        return Frame.newBuilder().setForward(forward).build();
    }

    /**
     * Builds the frame that carries a token.
     *
     * @param call reference to the attempt
     * @param index zero-based position of the token in the whole completion
     * @param text text of the token
     * @return the frame
     */
    public static Frame token(CallReference call, int index, String text) {
        return Frame.newBuilder()
                .setForwardEvent(
                        ForwardEvent.newBuilder().setCall(call).setIndex(index).setText(text))
                .build();
    }

    /**
     * Builds the frame that ends a forwarded call.
     *
     * @param call reference to the attempt
     * @param outcome outcome of the call
     * @param count number of tokens in the whole completion; used only if the call ran
     * @param finish finish reason; used only if the call ran
     * @return the frame
     */
    public static Frame end(CallReference call, Outcome outcome, int count, String finish) {
        ForwardEnd.Builder end = ForwardEnd.newBuilder().setCall(call);
        switch (outcome) {
            case Outcome.Ran ran -> end.setCount(count).setFinish(finish);
            case Outcome.NotRun(ErrorKind kind, String detail) -> setError(end, kind, detail);
            case Outcome.RanWithError(ErrorKind kind, String detail) -> setError(end, kind, detail);
            case Outcome.MayHaveRun(ErrorKind kind, String detail) -> setError(end, kind, detail);
        }
        return Frame.newBuilder().setForwardEnd(end).build();
    }

    private static void setError(ForwardEnd.Builder end, ErrorKind kind, String detail) {
        end.setErrorKind(kind.name()).setDetail(detail);
    }

    /**
     * Builds the frame that cancels a forwarded call.
     *
     * @param call reference to the attempt
     * @return the frame
     */
    public static Frame cancel(CallReference call) {
        return Frame.newBuilder()
                .setForwardCancel(ForwardCancel.newBuilder().setCall(call))
                .build();
    }

    /**
     * Decodes the outcome of a forwarded call.
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
