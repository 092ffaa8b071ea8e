package io.sesamehead.cli;

import com.google.common.collect.ImmutableList;
import io.sesamehead.daemon.settings.ReadResult;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.function.Function;

/** Reads text files named on the command line. */
final class TextFileReader {
    private TextFileReader() {}

    static String read(String name) throws CommandException {
        try {
            return Files.readString(Path.of(name));
        } catch (NoSuchFileException e) {
            throw new CommandException(ExitCode.WRONG_USAGE, name + ": there is no such file");
        } catch (CharacterCodingException e) {
            throw new CommandException(ExitCode.WRONG_USAGE, name + ": the file is not UTF-8 text");
        } catch (IOException e) {
            throw new CommandException(ExitCode.WRONG_USAGE, name + ": the file cannot be read: " + e.getMessage());
        }
    }

    /** Parses the text of a file; throws an exception that reports all problems, each with the name of the file. */
    static <T> T parse(String name, String text, Function<String, ReadResult<T>> reader) throws CommandException {
        return switch (reader.apply(text)) {
            case ReadResult.Valid<T>(T value) -> value;
            case ReadResult.Invalid<T>(var problems) ->
                throw new CommandException(
                        ExitCode.WRONG_USAGE,
                        problems.stream()
                                .map(problem -> name + ": " + problem)
                                .collect(ImmutableList.toImmutableList()));
        };
    }
}
