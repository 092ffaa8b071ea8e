package io.sesamehead.daemon.settings;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** Collects the problems that are found in a file. */
final class ProblemCollector {
    private static final int MAX_SUGGESTION_DISTANCE = 2;

    private final List<SettingProblem> problems = new ArrayList<>();

    void add(String section, String key, String message) {
        problems.add(new SettingProblem(section, key, message));
    }

    /** Reports an unknown name, with the closest known name as a suggestion if there is a similar one. */
    void addUnknown(String section, String key, String what, Collection<String> known) {
        String name = key.isEmpty() ? section : key;
        String suggestion = closest(name, known)
                .map(match -> "; did you mean " + match + "?")
                .orElse(known.isEmpty() ? "" : "; expected one of " + String.join(", ", known));
        add(section, key, "unknown " + what + suggestion);
    }

    boolean isEmpty() {
        return problems.isEmpty();
    }

    ImmutableList<SettingProblem> list() {
        return ImmutableList.copyOf(problems);
    }

    <T> ReadResult<T> invalid() {
        return new ReadResult.Invalid<>(list());
    }

    private static Optional<String> closest(String name, Collection<String> known) {
        String best = null;
        int bestDistance = MAX_SUGGESTION_DISTANCE + 1;
        for (String candidate : known) {
            int distance = editDistance(name, candidate);
            if (distance < bestDistance && distance < candidate.length()) {
                best = candidate;
                bestDistance = distance;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the Levenshtein distance between two names. */
    private static int editDistance(String from, String to) {
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
