package io.sesamehead.daemon.settings;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** Collects everything that is wrong in one file. */
final class ProblemCollector {
    private static final int CLOSE_EDITS = 2;

    private final List<SettingProblem> found = new ArrayList<>();

    void add(String section, String key, String message) {
        found.add(new SettingProblem(section, key, message));
    }

    /** Reports a name that is not known, with the closest known name when one is near. */
    void addUnknown(String section, String key, String what, Collection<String> known) {
        String name = key.isEmpty() ? section : key;
        String suggestion = closest(name, known)
                .map(near -> "; did you mean " + near + "?")
                .orElse(known.isEmpty() ? "" : "; expected one of " + String.join(", ", known));
        add(section, key, "unknown " + what + suggestion);
    }

    boolean isEmpty() {
        return found.isEmpty();
    }

    ImmutableList<SettingProblem> list() {
        return ImmutableList.copyOf(found);
    }

    <T> ReadResult<T> invalid() {
        return new ReadResult.Invalid<>(list());
    }

    private static Optional<String> closest(String name, Collection<String> known) {
        String best = null;
        int bestEdits = CLOSE_EDITS + 1;
        for (String candidate : known) {
            int edits = edits(name, candidate);
            if (edits < bestEdits && edits < candidate.length()) {
                best = candidate;
                bestEdits = edits;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Counts the insertions, deletions and replacements between two names. */
    private static int edits(String from, String to) {
        int[] previous = new int[to.length() + 1];
        for (int column = 0; column <= to.length(); column++) {
            previous[column] = column;
        }
        for (int row = 1; row <= from.length(); row++) {
            int[] current = new int[to.length() + 1];
            current[0] = row;
            for (int column = 1; column <= to.length(); column++) {
                int replaced = previous[column - 1] + (from.charAt(row - 1) == to.charAt(column - 1) ? 0 : 1);
                current[column] = Math.min(replaced, 1 + Math.min(previous[column], current[column - 1]));
            }
            previous = current;
        }
        return previous[to.length()];
    }
}
