package io.sesamehead.daemon.settings;

import com.google.common.collect.ImmutableList;

/**
 * Result of reading an INI file.
 *
 * @param <T> what the file describes
 */
public sealed interface ReadResult<T> {
    /**
     * The file is valid.
     *
     * @param <T> what the file describes
     * @param value the content
     */
    record Valid<T>(T value) implements ReadResult<T> {}

    /**
     * The file is not valid.
     *
     * @param <T> what the file describes
     * @param problems everything that is wrong
     */
    record Invalid<T>(ImmutableList<SettingProblem> problems) implements ReadResult<T> {}
}
