package io.sesamehead.proof.calls;

import io.sesamehead.state.AttemptId;

/** An attempt on its way to an upstream. The transport hands it over at most once, also when the network repeats it. */
final class UpstreamRequest {
    private final Call call;
    private final AttemptId attempt;
    private final Connection connection;
    private final int channel;
    private final int resumeFrom;
    private boolean delivered;

    /**
     * Creates a request.
     *
     * @param call the call that it belongs to, known to the checks only
     * @param attempt the attempt
     * @param connection the connection that carries it
     * @param channel number of its stream on the connection
     * @param resumeFrom first token wanted
     */
    UpstreamRequest(Call call, AttemptId attempt, Connection connection, int channel, int resumeFrom) {
        this.call = call;
        this.attempt = attempt;
        this.connection = connection;
        this.channel = channel;
        this.resumeFrom = resumeFrom;
    }

    /** True for the first delivery only. */
    boolean markDelivered() {
        boolean first = !delivered;
        delivered = true;
        return first;
    }

    Call call() {
        return call;
    }

    Operation operation() {
        return call.operation();
    }

    Connection connection() {
        return connection;
    }

    int resumeFrom() {
        return resumeFrom;
    }

    Frame frame(Frame.Content content) {
        return new Frame(attempt, connection.incarnation(), channel, content);
    }
}
