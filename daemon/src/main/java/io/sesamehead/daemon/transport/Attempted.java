package io.sesamehead.daemon.transport;

import org.tinylog.Logger;

/** Maps the end of an HTTP exchange to the end of an attempt. Callers get a sentence, the log the cause. */
final class Attempted {
    private Attempted() {}

    static UpstreamResult result(Exchange<UpstreamResult> exchange, String address) {
        return switch (exchange) {
            case Exchange.Answered<UpstreamResult>(UpstreamResult result) -> result;
            case Exchange.NotSent<UpstreamResult>(String detail, boolean refused) -> {
                Logger.debug("route: nothing was sent to {}: {}", address, detail);
                yield new UpstreamResult.NotSent("the connection to the upstream could not be opened");
            }
            case Exchange.Broken<UpstreamResult>(String detail, boolean expired) -> {
                Logger.debug("route: the exchange with {} broke: {}", address, detail);
                yield expired
                        ? new UpstreamResult.DeadlinePassed("the deadline passed")
                        : new UpstreamResult.Lost("the connection to the upstream broke");
            }
            case Exchange.Cancelled<UpstreamResult>() -> new UpstreamResult.Cancelled();
        };
    }
}
