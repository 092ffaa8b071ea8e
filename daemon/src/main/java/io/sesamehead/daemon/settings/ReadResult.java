package io.sesamehead.daemon.settings;

import com.google.common.collect.ImmutableList;

/**
 * Result of reading an INI file.
 *
 * @param <T> type of the parsed content
 */
public sealed interface ReadResult<T> {
    /**
     * The file is valid.
     *
     * @param <T> type of the parsed content
     * @param value the parsed content
     */
    record Valid<T>(T value) implements ReadResult<T> {}

    /**
     * The file is not valid.
     *
     * @param <T> type of the parsed content
     * @param problems all problems of the file
     */
    record Invalid<T>(ImmutableList<SettingProblem> problems) implements ReadResult<T> {}
}
