package io.sesamehead.proof.calls;

import io.sesamehead.state.AttemptId;

/** Request of an attempt to an upstream. The transport delivers it at most once, even if the network duplicates it. */
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
     * @param call the call to which the request belongs, visible to the checker only
     * @param attempt the attempt
     * @param connection the connection that carries it
     * @param channel number of the request's stream on the connection
     * @param resumeFrom index of the first requested token
     */
    UpstreamRequest(Call call, AttemptId attempt, Connection connection, int channel, int resumeFrom) {
        this.call = call;
        this.attempt = attempt;
        this.connection = connection;
        this.channel = channel;
        this.resumeFrom = resumeFrom;
    }

    /** Marks the request as delivered. Returns true for the first delivery only. */
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
