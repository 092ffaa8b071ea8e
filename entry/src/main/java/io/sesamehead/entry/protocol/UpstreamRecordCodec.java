package io.sesamehead.entry.protocol;

import io.sesamehead.coordination.replica.MemberState;
import io.sesamehead.coordination.replica.Membership;
import io.sesamehead.coordination.replica.ReplicaKey;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.entry.protocol.generated.MemberStage;
import io.sesamehead.entry.protocol.generated.StoreView;
import io.sesamehead.entry.protocol.generated.UpstreamChange;
import io.sesamehead.entry.protocol.generated.UpstreamRecord;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.StoreRevision;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Encodes and decodes changes of the upstream registry that relays forward. */
public final class UpstreamRecordCodec {
    /**
     * Maximum size of the changes in one view, in bytes. With the loads of all targets they fit into one datagram; a
     * larger one would be lost with everything else that it contains.
     */
    static final int MAX_CHANGES_BYTES = 6_144;

    private UpstreamRecordCodec() {}

    /**
     * Adds the latest changes to a view. Changes that are too large are left out, so that a receiver without them queries
     * the store.
     *
     * @param view the view, with its revision
     * @param since revision after which the changes follow
     * @param changes the changes, in order
     */
    public static void addChanges(StoreView.Builder view, long since, List<ChangeBatch.Change<UpstreamEntry>> changes) {
        List<UpstreamChange> messages =
                changes.stream().map(UpstreamRecordCodec::encode).toList();
        int bytes =
                messages.stream().mapToInt(UpstreamChange::getSerializedSize).sum();
        if (bytes <= MAX_CHANGES_BYTES) {
            view.setChangesSince(since).addAllChanges(messages);
        } else {
            view.setChangesSince(view.getRegistryRevision());
        }
    }

    /**
     * Encodes a change.
     *
     * @param change the change
     * @return the message
     */
    public static UpstreamChange encode(ChangeBatch.Change<UpstreamEntry> change) {
        UpstreamChange.Builder message = UpstreamChange.newBuilder()
                .setName(change.object().name())
                .setRevision(change.object().revision().number())
                .setDeleted(change.deleted());
        change.object().content().ifPresent(entry -> message.setUpstream(record(entry)));
        return message.build();
    }

    /**
     * Decodes a change.
     *
     * @param message the message
     * @param era era of the store in which the message's revision counts
     * @return the change
     * @throws IllegalArgumentException if a field has an invalid value
     */
    public static ChangeBatch.Change<UpstreamEntry> decode(UpstreamChange message, long era) {
        Optional<UpstreamEntry> entry =
                message.hasUpstream() ? Optional.of(entry(message.getName(), message.getUpstream())) : Optional.empty();
        return new ChangeBatch.Change<>(
                new StoredObject<>(message.getName(), new StoreRevision(era, message.getRevision()), entry),
                message.getDeleted());
    }

    private static UpstreamRecord record(UpstreamEntry entry) {
        UpstreamRecord.Builder record = UpstreamRecord.newBuilder()
                .setStartedAtMillis(entry.startedAtEpochMillis())
                .setOrdersBegun(entry.writes())
                .setService(entry.service().value())
                .setHost(entry.endpoint().host())
                .setPort(entry.endpoint().port())
                .setFailureDomain(entry.failureDomain().value())
                .setSlots(entry.slots())
                .setLeaving(entry.leaving())
                .setFabricDomain(entry.fabricDomain())
                .addAllStaged(entry.staged())
                .addAllLoaded(entry.loaded());
        entry.coldMillis().ifPresent(millis -> record.setColdLeftPlusOne(millis + 1));
        entry.membership()
                .ifPresent(membership -> record.setGroup(membership.replica().group())
                        .setGroupEpoch(membership.replica().epoch())
                        .setRank(membership.rank())
                        .setStage(stage(membership.state())));
        return record.build();
    }

    private static UpstreamEntry entry(String name, UpstreamRecord record) {
        Optional<Membership> membership = record.getGroup().isEmpty()
                ? Optional.empty()
                : Optional.of(new Membership(
                        new ReplicaKey(record.getGroup(), record.getGroupEpoch()),
                        record.getRank(),
                        state(record.getStage())));
        return new UpstreamEntry(
                new InstanceId(name),
                record.getStartedAtMillis(),
                record.getOrdersBegun(),
                new ServiceName(record.getService()),
                new Endpoint(record.getHost(), record.getPort()),
                new FailureDomain(record.getFailureDomain()),
                record.getSlots(),
                record.getLeaving(),
                record.getFabricDomain(),
                record.getStagedList(),
                record.getLoadedList(),
                membership,
                record.getColdLeftPlusOne() > 0
                        ? OptionalLong.of(record.getColdLeftPlusOne() - 1)
                        : OptionalLong.empty());
    }

    private static MemberStage stage(MemberState state) {
        return switch (state) {
            case JOINING -> MemberStage.JOINING;
            case READY -> MemberStage.READY;
            case OPEN -> MemberStage.OPEN;
            case CLOSING -> MemberStage.CLOSING;
            case BROKEN -> MemberStage.BROKEN;
        };
    }

    private static MemberState state(MemberStage stage) {
        return switch (stage) {
            case JOINING -> MemberState.JOINING;
            case READY -> MemberState.READY;
            case OPEN -> MemberState.OPEN;
            case CLOSING -> MemberState.CLOSING;
            case BROKEN -> MemberState.BROKEN;
            case UNRECOGNIZED -> throw new IllegalArgumentException("unknown group member stage");
        };
    }
}
