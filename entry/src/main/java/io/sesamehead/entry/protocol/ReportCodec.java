package io.sesamehead.entry.protocol;

import com.google.protobuf.InvalidProtocolBufferException;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetReport;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import io.sesamehead.entry.protocol.generated.TargetLoad;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Converts reports between daemons. */
public final class ReportCodec {
    private ReportCodec() {}

    /**
     * Reads a datagram.
     *
     * @param bytes its content
     * @return the report, or empty if it cannot be read
     */
    public static Optional<DaemonReport> decode(byte[] bytes) {
        try {
            return Optional.of(DaemonReport.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            // The caller logs the loss; the sender reports again within a fraction of a second.
            return Optional.empty();
        }
    }

    /**
     * Reads the loads of a report.
     *
     * @param report the report
     * @return one row for each target
     */
    public static List<TargetReport> loads(DaemonReport report) {
        List<TargetReport> rows = new ArrayList<>(report.getTargetsCount());
        for (TargetLoad load : report.getTargetsList()) {
            TargetKey key = new TargetKey(load.getName(), load.getGeneration());
            rows.add(new TargetReport(key, load.getInFlight(), load.getSilentMillis(), load.getSuspected()));
        }
        return rows;
    }

    /**
     * Writes a load.
     *
     * @param row the load
     * @return the message
     */
    public static TargetLoad load(TargetReport row) {
        return TargetLoad.newBuilder()
                .setName(row.key().name())
                .setGeneration(row.key().generation())
                .setInFlight(row.inFlight())
                .setSilentMillis((int) Math.min(Integer.MAX_VALUE, Math.max(0, row.silentMillis())))
                .setSuspected(row.suspected())
                .build();
    }
}
