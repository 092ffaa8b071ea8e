package io.sesamehead.cli.operator;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.ServiceSpec;
import java.lang.reflect.RecordComponent;
import java.util.Comparator;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/**
 * Differences between two release notes.
 *
 * @param changes the changes, in the order of the sections of the note
 */
public record ReleaseDiff(ImmutableList<Change> changes) {
    /**
     * One change.
     *
     * @param kind the kind of change
     * @param subject the changed item, such as {@code service assistant}
     * @param detail description of the change
     */
    public record Change(Kind kind, String subject, String detail) {}

    /** Kind of change. */
    public enum Kind {
        /** The item is new. */
        ADDED,
        /** The item exists in both notes with different content. */
        CHANGED,
        /** The item is removed. */
        WITHDRAWN;

        /**
         * Returns the label used in tables and JSON.
         *
         * @return the name in lower case
         */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Empty note, in force before a release has been accepted. */
    public static final ReleaseNote EMPTY_NOTE = new ReleaseNote(
            "", ImmutableMap.of(), ImmutableMap.of(), 0, new ReleaseNote.PolicySettings(0, "", 0), ImmutableSet.of());

    /**
     * Describes the first note.
     *
     * @param next the note
     * @return all content of the note as additions
     */
    public static ReleaseDiff first(ReleaseNote next) {
        ImmutableList.Builder<Change> changes = ImmutableList.builder();
        addServiceChanges(EMPTY_NOTE, next, changes);
        addAccountChanges(EMPTY_NOTE, next, changes);
        changes.add(new Change(Kind.ADDED, "weights", "loads-per-minute " + next.loadsPerMinute()));
        changes.add(new Change(Kind.ADDED, "policy", fields(next.policy())));
        return new ReleaseDiff(changes.build());
    }

    /**
     * Compares two notes.
     *
     * @param accepted the note in force
     * @param next the new note
     * @return the differences
     */
    public static ReleaseDiff between(ReleaseNote accepted, ReleaseNote next) {
        ImmutableList.Builder<Change> changes = ImmutableList.builder();
        addServiceChanges(accepted, next, changes);
        addAccountChanges(accepted, next, changes);
        if (accepted.loadsPerMinute() != next.loadsPerMinute()) {
            String detail = "loads-per-minute " + accepted.loadsPerMinute() + " -> " + next.loadsPerMinute();
            changes.add(new Change(Kind.CHANGED, "weights", detail));
        }
        if (!accepted.policy().equals(next.policy())) {
            changes.add(new Change(Kind.CHANGED, "policy", fieldChanges(accepted.policy(), next.policy())));
        }
        return new ReleaseDiff(changes.build());
    }

    private static void addServiceChanges(
            ReleaseNote accepted, ReleaseNote next, ImmutableList.Builder<Change> changes) {
        Set<ServiceName> names = new TreeSet<>(Comparator.comparing(ServiceName::value));
        names.addAll(accepted.services().keySet());
        names.addAll(next.services().keySet());
        for (ServiceName name : names) {
            String subject = "service " + name.value();
            ServiceSpec before = accepted.services().get(name);
            ServiceSpec after = next.services().get(name);
            if (before == null) {
                changes.add(new Change(Kind.ADDED, subject, summary(after)));
            } else if (after == null) {
                changes.add(new Change(Kind.WITHDRAWN, subject, summary(before)));
            } else if (!before.equals(after)) {
                changes.add(new Change(Kind.CHANGED, subject, specChanges(before, after)));
            }
        }
    }

    private static void addAccountChanges(
            ReleaseNote accepted, ReleaseNote next, ImmutableList.Builder<Change> changes) {
        Set<ClientAccount> accounts = new TreeSet<>(Comparator.comparing(ClientAccount::value));
        accounts.addAll(accepted.shares().keySet());
        accounts.addAll(next.shares().keySet());
        for (ClientAccount account : accounts) {
            String subject = "account " + account.value();
            Integer before = accepted.shares().get(account);
            Integer after = next.shares().get(account);
            if (before == null) {
                changes.add(new Change(Kind.ADDED, subject, "share " + after));
            } else if (after == null) {
                String detail = "share " + before + " -> " + ReleaseNote.DEFAULT_SHARE + " (default)";
                changes.add(new Change(Kind.WITHDRAWN, subject, detail));
            } else if (!before.equals(after)) {
                changes.add(new Change(Kind.CHANGED, subject, "share " + before + " -> " + after));
            }
        }
    }

    /**
     * Summarizes a service.
     *
     * @param spec the service
     * @return the summary
     */
    public static String summary(ServiceSpec spec) {
        return switch (spec) {
            case ServiceSpec.ModelService model ->
                "model " + model.model() + " version " + model.version() + ", " + model.replicas() + " replicas of "
                        + model.vmsPerReplica() + " VMs in each of " + model.failureDomains();
            case ServiceSpec.PlainService plain -> "plain service at " + addresses(plain);
        };
    }

    private static String addresses(ServiceSpec.PlainService plain) {
        return String.join(
                ", ",
                plain.addresses().stream()
                        .map(address -> address.failureDomain().value() + "@" + address.address())
                        .toList());
    }

    private static String specChanges(ServiceSpec before, ServiceSpec after) {
        return before.getClass().equals(after.getClass())
                ? fieldChanges((Record) before, (Record) after)
                : summary(before) + " -> " + summary(after);
    }

    private static String fieldChanges(Record before, Record after) {
        ImmutableList.Builder<String> changed = ImmutableList.builder();
        for (RecordComponent component : before.getClass().getRecordComponents()) {
            Object previous = value(component, before);
            Object current = value(component, after);
            if (!previous.equals(current)) {
                changed.add(settingName(component.getName()) + " " + previous + " -> " + current);
            }
        }
        return String.join(", ", changed.build());
    }

    private static String fields(Record record) {
        ImmutableList.Builder<String> all = ImmutableList.builder();
        for (RecordComponent component : record.getClass().getRecordComponents()) {
            all.add(settingName(component.getName()) + " " + value(component, record));
        }
        return String.join(", ", all.build());
    }

    private static Object value(RecordComponent component, Record holder) {
        try {
            return component.getAccessor().invoke(holder);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("record components have public accessors", e);
        }
    }

    /** Converts the camel case name of a record component to the name of the setting, which is written with dashes. */
    private static String settingName(String component) {
        return component.replaceAll("([A-Z])", "-$1").toLowerCase(Locale.ROOT);
    }
}
