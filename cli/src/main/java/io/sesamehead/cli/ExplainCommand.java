package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.sesamehead.cli.explain.Explanation;
import io.sesamehead.cli.explain.LogLine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** {@code explain}: explains the outcome of a request from the logs of entry daemons. */
@Parameters(commandDescription = "Tell from entry daemons' logs why a request ended as it did")
public final class ExplainCommand implements Command {
    @Parameter(description = "ID FILE...", required = true)
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--json", description = "Print JSON instead of text")
    private boolean json;

    @Override
    public ExitCode run(Console console) throws CommandException {
        if (arguments.size() < 2) {
            throw new CommandException(ExitCode.WRONG_USAGE, "expected a request id and at least one log file");
        }
        String id = arguments.get(0);
        Explanation explanation = Explanation.of(id, readAll(arguments.subList(1, arguments.size())));
        if (explanation.lines().isEmpty()) {
            throw new CommandException(ExitCode.FAILED, "no line of these logs names the request " + id);
        }
        if (json) {
            console.print(toJson(id, explanation));
        } else {
            print(console, id, explanation);
        }
        return ExitCode.DONE;
    }

    private static List<LogLine> readAll(List<String> files) throws CommandException {
        List<LogLine> lines = new ArrayList<>();
        for (String file : files) {
            TextFileReader.read(file)
                    .lines()
                    .forEach(text -> LogLine.parse(file, text).ifPresent(lines::add));
        }
        return lines;
    }

    private static void print(Console console, String id, Explanation explanation) {
        console.print(id + ": " + explanation.cause());
        console.print("");
        explanation.lines().forEach(line -> console.print("  " + line.source() + "  " + line));
        explanation.context().forEach((subject, lines) -> {
            console.print("");
            console.print("On " + subject + ":");
            lines.forEach(line -> console.print("  " + line.source() + "  " + line));
        });
    }

    private static String toJson(String id, Explanation explanation) {
        Map<String, Object> context = new LinkedHashMap<>();
        explanation.context().forEach((subject, lines) -> context.put(subject, lines));
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("id", id);
        document.put("cause", explanation.cause());
        document.put("story", explanation.lines());
        document.put("context", context);
        try {
            return new ObjectMapper().writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("records of texts can always be written", e);
        }
    }
}
