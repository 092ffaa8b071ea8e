package io.sesamehead.proof.calls;

import io.sesamehead.state.RequestId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** One call as its caller sees it. */
final class Call {
    private final int number;
    private final Operation operation;
    private final RequestId request;
    private final long deadlineMillis;
    private final Consumer<Call> onEnd;
    private final List<String> tokens = new ArrayList<>();
    private final List<CallResponse> responses = new ArrayList<>();
    private boolean tokenAfterEnd;
    private boolean accepted;
    private boolean connectionLost;

    /**
     * Creates a call without an answer.
     *
     * @param number number of the call in the run
     * @param operation what is asked for
     * @param request identifier that the caller sends
     * @param deadlineMillis time from arrival to the deadline, in milliseconds
     * @param onEnd what the caller does at the answer or when its daemon is gone
     */
    Call(int number, Operation operation, RequestId request, long deadlineMillis, Consumer<Call> onEnd) {
        this.number = number;
        this.operation = operation;
        this.request = request;
        this.deadlineMillis = deadlineMillis;
        this.onEnd = onEnd;
    }

    int number() {
        return number;
    }

    Operation operation() {
        return operation;
    }

    RequestId request() {
        return request;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    /** A daemon has read the call; before that it is bytes in the buffers of a connection. */
    void accept() {
        accepted = true;
    }

    boolean accepted() {
        return accepted;
    }

    void addToken(String text) {
        tokenAfterEnd |= !responses.isEmpty();
        tokens.add(text);
    }

    void response(CallResponse reply) {
        responses.add(reply);
        if (responses.size() == 1) {
            onEnd.accept(this);
        }
    }

    /** The daemon died: the caller sees its connection break. */
    void loseConnection() {
        if (responses.isEmpty() && !connectionLost) {
            connectionLost = true;
            onEnd.accept(this);
        }
    }

    List<String> tokens() {
        return tokens;
    }

    List<CallResponse> responses() {
        return responses;
    }

    Optional<CallResponse> response() {
        return responses.stream().findFirst();
    }

    boolean tokenAfterEnd() {
        return tokenAfterEnd;
    }

    boolean connectionLost() {
        return connectionLost;
    }

    @Override
    public String toString() {
        return "call " + number + " of operation " + operation.number() + " ("
                + operation.service().name()
                + operation.key().map(key -> ", key " + key).orElse("") + ", id " + request + ")";
    }
}
