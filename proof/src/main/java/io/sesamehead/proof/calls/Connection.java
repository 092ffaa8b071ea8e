package io.sesamehead.proof.calls;

import io.sesamehead.state.Incarnation;

/** One connection of a daemon to an upstream, shared by attempts until it breaks. */
final class Connection {
    private final Incarnation incarnation;
    private final SimulatedDaemon daemon;
    private final Upstream upstream;
    private boolean open = true;

    Connection(Incarnation incarnation, SimulatedDaemon daemon, Upstream upstream) {
        this.incarnation = incarnation;
        this.daemon = daemon;
        this.upstream = upstream;
    }

    Incarnation incarnation() {
        return incarnation;
    }

    SimulatedDaemon daemon() {
        return daemon;
    }

    Upstream upstream() {
        return upstream;
    }

    boolean open() {
        return open;
    }

    /** Breaks the connection; what was sent before may still arrive. */
    void close() {
        open = false;
    }
}
