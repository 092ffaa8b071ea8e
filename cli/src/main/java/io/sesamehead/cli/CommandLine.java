package io.sesamehead.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the command line and runs the subcommand that it names. */
public final class CommandLine {
    private static final String PROGRAM = "sesamehead";
    /** Column at which help texts wrap, so that they fit a usual terminal. */
    private static final int HELP_COLUMNS = 100;

    private static final ImmutableList<Wording> WORDINGS = ImmutableList.of(
            new Wording(Pattern.compile("Expected a command, got (.*)"), "unknown command "),
            new Wording(Pattern.compile("Main parameters are required \\(\"(.*)\"\\)"), "missing argument: "),
            new Wording(Pattern.compile("Only one main parameter allowed .*\"(-.*)\""), "unknown option "),
            new Wording(Pattern.compile("Only one main parameter allowed .*\"(.*)\""), "unexpected argument "),
            new Wording(Pattern.compile("The following options? (?:is|are) required: \\[(.*)]"), "missing option: "));

    private final ImmutableMap<String, Command> commands;
    private final Console console;

    /**
     * Creates the reader.
     *
     * @param commands the subcommands by name; {@code "stand-in platform"} is a subcommand of {@code stand-in}
     * @param console where commands write
     */
    public CommandLine(ImmutableMap<String, Command> commands, Console console) {
        this.commands = commands;
        this.console = console;
    }

    /**
     * Parses and runs.
     *
     * @param args the command line
     * @return exit code of the process
     */
    public ExitCode run(String... args) {
        Parsed parsed = new Parsed(commands);
        try {
            parsed.root.parse(args);
        } catch (ParameterException e) {
            console.error(message(e));
            console.error("see `" + parsed.helpCommand() + "`");
            return ExitCode.WRONG_USAGE;
        }
        if (parsed.helpWanted() || parsed.chosen() == null) {
            return printHelp(parsed);
        }
        return runCommand(parsed.chosen());
    }

    /** Replaces the library's wording where it does not name the operator's mistake. */
    private static String message(ParameterException e) {
        String text = String.valueOf(e.getMessage());
        for (Wording wording : WORDINGS) {
            Matcher matcher = wording.library().matcher(text);
            if (matcher.matches()) {
                return wording.own() + matcher.group(1);
            }
        }
        return text;
    }

    /** A message of the library, and what is printed in front of its first group instead. */
    private record Wording(Pattern library, String own) {}

    private ExitCode printHelp(Parsed parsed) {
        String name = parsed.chosenName();
        if (name.isEmpty()) {
            printCommands();
        } else {
            printOptions(parsed, name);
        }
        if (parsed.helpWanted()) {
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

    private void printOptions(Parsed parsed, String name) {
        JCommander commander = parsed.innermost();
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

    /** The JCommander tree of one command line. */
    private static final class Parsed {
        private final JCommander root;
        private final CommonOptions rootOptions = new CommonOptions();
        private final ImmutableMap<String, Command> commands;
        private final ImmutableMap<String, CommonOptions> options;

        Parsed(ImmutableMap<String, Command> commands) {
            this.commands = commands;
            this.root = JCommander.newBuilder()
                    .programName(PROGRAM)
                    .addObject(rootOptions)
                    .build();
            ImmutableMap.Builder<String, CommonOptions> builder = ImmutableMap.builder();
            commands.forEach((name, command) -> builder.put(name, add(name, command)));
            this.options = builder.buildOrThrow();
        }

        private CommonOptions add(String name, Command command) {
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

        private String chosenName() {
            String name = root.getParsedCommand();
            if (name == null) {
                return "";
            }
            String inner = root.getCommands().get(name).getParsedCommand();
            return inner == null ? name : name + " " + inner;
        }

        Command chosen() {
            return commands.get(chosenName());
        }

        boolean helpWanted() {
            String name = chosenName();
            return rootOptions.help
                    || options.entrySet().stream()
                            .filter(entry -> name.startsWith(entry.getKey()))
                            .map(Map.Entry::getValue)
                            .anyMatch(common -> common.help);
        }

        JCommander innermost() {
            JCommander at = root;
            while (at.getParsedCommand() != null) {
                at = at.getCommands().get(at.getParsedCommand());
            }
            return at;
        }

        String helpCommand() {
            String name = chosenName();
            return name.isEmpty() ? PROGRAM + " --help" : PROGRAM + " " + name + " --help";
        }
    }
}
