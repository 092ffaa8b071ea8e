package io.sesamehead.proof.calls;

import io.sesamehead.state.RequestId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** A call as observed by its caller. */
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
     * Creates a call without a response.
     *
     * @param number sequence number of the call in the run
     * @param operation operation to call
     * @param request request ID sent by the caller
     * @param deadlineMillis time from arrival to the deadline, in milliseconds
     * @param onEnd called with this call on the first response or when the connection to the daemon is lost
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

    /** Records that a daemon has read the call. Until then it is only bytes in connection buffers. */
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

    /** Records a response; a correct daemon sends exactly one. */
    void addResponse(CallResponse response) {
        responses.add(response);
        if (responses.size() == 1) {
            onEnd.accept(this);
        }
    }

    /** Records that the connection was lost because the daemon was killed or exited. */
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
