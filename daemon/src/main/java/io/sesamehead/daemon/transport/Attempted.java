package io.sesamehead.daemon.transport;

/** Maps the end of an HTTP exchange to the end of an attempt. */
final class Attempted {
    private Attempted() {}

    static UpstreamResult result(Exchange<UpstreamResult> exchange) {
        return switch (exchange) {
            case Exchange.Answered<UpstreamResult>(UpstreamResult result) -> result;
            case Exchange.NotSent<UpstreamResult>(String detail, boolean refused) -> new UpstreamResult.NotSent(detail);
            case Exchange.Broken<UpstreamResult>(String detail, boolean expired) ->
                expired ? new UpstreamResult.DeadlinePassed(detail) : new UpstreamResult.Lost(detail);
            case Exchange.Cancelled<UpstreamResult>() -> new UpstreamResult.Cancelled();
        };
    }
}
