package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.ProblemDocument;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.RequestId;
import jakarta.ws.rs.WebApplicationException;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import java.util.function.Supplier;
import org.tinylog.Logger;

/** Answers requests that no resource takes, and faults of the daemon itself. */
public final class UncaughtExceptionMapper implements ExceptionMapper<Throwable> {
    private final Supplier<RequestId> requestIds;

    /**
     * Creates the mapper.
     *
     * @param requestIds draws identifiers for requests that have none
     */
    public UncaughtExceptionMapper(Supplier<RequestId> requestIds) {
        this.requestIds = requestIds;
    }

    @Override
    public Response toResponse(Throwable failure) {
        RequestId request = requestIds.get();
        if (failure instanceof WebApplicationException web && web.getResponse().getStatus() < 500) {
            return ProblemResponses.closing(new ProblemDocument(ErrorKind.UNKNOWN_PATH, "no call has this path and method", request));
        }
        Logger.error(failure, "daemon: request {} failed", request);
        return ProblemResponses.closing(new ProblemDocument(ErrorKind.INTERNAL, "internal error", request));
    }
}
