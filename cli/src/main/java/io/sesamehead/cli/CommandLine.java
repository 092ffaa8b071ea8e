package io.sesamehead.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the command line and runs the subcommand. */
public final class CommandLine {
    private static final String PROGRAM = "sesamehead";
    /** Line width of help texts in columns; fits a usual terminal. */
    private static final int HELP_COLUMNS = 100;

    private static final ImmutableList<MessageRewrite> MESSAGE_REWRITES = ImmutableList.of(
            new MessageRewrite(Pattern.compile("Expected a command, got (.*)"), "unknown command "),
            new MessageRewrite(Pattern.compile("Main parameters are required \\(\"(.*)\"\\)"), "missing argument: "),
            new MessageRewrite(Pattern.compile("Only one main parameter allowed .*\"(-.*)\""), "unknown option "),
            new MessageRewrite(Pattern.compile("Only one main parameter allowed .*\"(.*)\""), "unexpected argument "),
            new MessageRewrite(
                    Pattern.compile("The following options? (?:is|are) required: \\[(.*)]"), "missing option: "));

    private final ImmutableMap<String, Command> commands;
    private final Console console;

    /**
     * Creates a parser.
     *
     * @param commands the subcommands by name; {@code "stand-in platform"} is a subcommand of {@code stand-in}
     * @param console where commands print their output
     */
    public CommandLine(ImmutableMap<String, Command> commands, Console console) {
        this.commands = commands;
        this.console = console;
    }

    /**
     * Parses the arguments and runs the subcommand.
     *
     * @param args the arguments
     * @return exit code of the process
     */
    public ExitCode run(String... args) {
        ParsedCommandLine parsed = new ParsedCommandLine(commands);
        try {
            parsed.root.parse(args);
        } catch (ParameterException e) {
            console.error(message(e));
            console.error("see `" + parsed.helpCommand() + "`");
            return ExitCode.WRONG_USAGE;
        }
        if (parsed.helpRequested() || parsed.selectedCommand() == null) {
            return printHelp(parsed);
        }
        return runCommand(parsed.selectedCommand());
    }

    /** Rewords messages of JCommander that do not name the operator's mistake. */
    private static String message(ParameterException e) {
        String text = String.valueOf(e.getMessage());
        for (MessageRewrite rewrite : MESSAGE_REWRITES) {
            Matcher matcher = rewrite.pattern().matcher(text);
            if (matcher.matches()) {
                return rewrite.replacementPrefix() + matcher.group(1);
            }
        }
        return text;
    }

    /** Pattern of a JCommander message, and the text that replaces everything before its first group. */
    private record MessageRewrite(Pattern pattern, String replacementPrefix) {}

    private ExitCode printHelp(ParsedCommandLine parsed) {
        String name = parsed.selectedName();
        if (name.isEmpty()) {
            printCommands();
        } else {
            printOptions(parsed, name);
        }
        if (parsed.helpRequested()) {
            return ExitCode.DONE;
        }
        console.error("a command is missing");
        return ExitCode.WRONG_USAGE;
    }

    private void printCommands() {
        console.print("Usage: " + PROGRAM + " COMMAND [options]");
        console.print("");
        Table table = new Table("COMMAND", "PURPOSE");
        commands.forEach((name, command) -> table.row(
                name, command.getClass().getAnnotation(Parameters.class).commandDescription()));
        table.print(console);
        console.print("");
        console.print("`" + PROGRAM + " COMMAND --help` describes the options of a command.");
    }

    private void printOptions(ParsedCommandLine parsed, String name) {
        JCommander commander = parsed.innermostCommander();
        commander.setProgramName(PROGRAM + " " + name);
        commander.setColumnSize(HELP_COLUMNS);
        StringBuilder help = new StringBuilder();
        commander.getUsageFormatter().usage(help);
        console.print(
                commands.get(name).getClass().getAnnotation(Parameters.class).commandDescription() + ".");
        console.print(help.toString().stripTrailing());
    }

    private ExitCode runCommand(Command command) {
        try {
            return command.run(console);
        } catch (CommandException e) {
            e.errors().forEach(console::error);
            return e.exitCode();
        } catch (ParameterException e) {
            console.error(message(e));
            return ExitCode.WRONG_USAGE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            console.error("interrupted");
            return ExitCode.FAILED;
        }
    }

    /** JCommander instances of one parsed command line. */
    private static final class ParsedCommandLine {
        private final JCommander root;
        private final CommonOptions rootOptions = new CommonOptions();
        private final ImmutableMap<String, Command> commands;
        private final ImmutableMap<String, CommonOptions> options;

        ParsedCommandLine(ImmutableMap<String, Command> commands) {
            this.commands = commands;
            this.root = JCommander.newBuilder()
                    .programName(PROGRAM)
                    .addObject(rootOptions)
                    .build();
            ImmutableMap.Builder<String, CommonOptions> builder = ImmutableMap.builder();
            commands.forEach((name, command) -> builder.put(name, addCommand(name, command)));
            this.options = builder.buildOrThrow();
        }

        private CommonOptions addCommand(String name, Command command) {
            JCommander parent = root;
            String last = name;
            int space = name.indexOf(' ');
            if (space > 0) {
                parent = root.getCommands().get(name.substring(0, space));
                last = name.substring(space + 1);
            }
            CommonOptions common = new CommonOptions();
            parent.addCommand(last, new Object[] {common, command});
            return common;
        }

        private String selectedName() {
            String name = root.getParsedCommand();
            if (name == null) {
                return "";
            }
            String inner = root.getCommands().get(name).getParsedCommand();
            return inner == null ? name : name + " " + inner;
        }

        Command selectedCommand() {
            return commands.get(selectedName());
        }

        boolean helpRequested() {
            String name = selectedName();
            return rootOptions.help
                    || options.entrySet().stream()
                            .filter(entry -> name.startsWith(entry.getKey()))
                            .map(Map.Entry::getValue)
                            .anyMatch(common -> common.help);
        }

        JCommander innermostCommander() {
            JCommander current = root;
            while (current.getParsedCommand() != null) {
                current = current.getCommands().get(current.getParsedCommand());
            }
            return current;
        }

        String helpCommand() {
            String name = selectedName();
            return name.isEmpty() ? PROGRAM + " --help" : PROGRAM + " " + name + " --help";
        }
    }
}
