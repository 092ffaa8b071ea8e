package io.sesamehead.daemon.transport;

/** Maps the end of an HTTP exchange to the end of an attempt. */
final class Attempted {
    private Attempted() {}

    static AttemptEnd end(Exchange<AttemptEnd> exchange) {
        return switch (exchange) {
            case Exchange.Answered<AttemptEnd>(AttemptEnd end) -> end;
            case Exchange.NotSent<AttemptEnd>(String detail, boolean expired) -> new AttemptEnd.NotSent(detail);
            case Exchange.Broken<AttemptEnd>(String detail, boolean expired) ->
                expired ? new AttemptEnd.DeadlinePassed(detail) : new AttemptEnd.Lost(detail);
            case Exchange.Cancelled<AttemptEnd>() -> new AttemptEnd.Cancelled();
        };
    }
}
