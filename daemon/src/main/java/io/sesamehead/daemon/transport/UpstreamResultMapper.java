package io.sesamehead.daemon.transport;

import org.tinylog.Logger;

/** Maps the end of an HTTP exchange to the end of an attempt. Callers get a sentence, the log the cause. */
final class UpstreamResultMapper {
    private UpstreamResultMapper() {}

    static UpstreamResult fromExchange(ExchangeResult<UpstreamResult> exchange, String address) {
        return switch (exchange) {
            case ExchangeResult.Completed<UpstreamResult>(UpstreamResult result) -> result;
            case ExchangeResult.NotSent<UpstreamResult>(String detail, boolean refused) -> {
                Logger.debug("route: nothing was sent to {}: {}", address, detail);
                yield new UpstreamResult.NotSent("the connection to the upstream could not be opened");
            }
            case ExchangeResult.Broken<UpstreamResult>(String detail, boolean expired) -> {
                Logger.debug("route: the exchange with {} broke: {}", address, detail);
                yield expired
                        ? new UpstreamResult.DeadlinePassed("the deadline passed")
                        : new UpstreamResult.Lost("the connection to the upstream broke");
            }
            case ExchangeResult.Cancelled<UpstreamResult>() -> new UpstreamResult.Cancelled();
        };
    }
}
