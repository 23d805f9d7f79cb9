package org.wisteriapost.operator;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;

/**
 * Parsed options and arguments of a command.
 */
public final class Arguments {

	private static final Code COMMAND_LINE = Code.error("command-line-rejected",
			"A command's options or arguments are not as its help says.");

	private final CommandLine commandLine;

	private Arguments(CommandLine line) {
		this.commandLine = line;
	}

	/**
	 * Returns the definition of an option with a value.
	 */
	public static Option valueOption(String name, String argument, String help) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(help).get();
	}

	/**
	 * Returns the definition of an option without a value.
	 */
	public static Option flagOption(String name, String help) {
		return Option.builder().longOpt(name).desc(help).get();
	}

	/**
	 * Parses the arguments; prints the help and returns empty if {@code --help} is given.
	 * @param usage the command name followed by its positional arguments
	 */
	public static Optional<Arguments> parse(String usage, List<Option> known, List<String> args, PrintStream out) {
		Options options = new Options();
		known.forEach(options::addOption);
		options.addOption(flagOption("help", "show this help"));
		if (args.contains("--help")) {
			printHelp(usage, options, out);
			return Optional.empty();
		}
		try {
			return Optional.of(new Arguments(new DefaultParser().parse(options, args.toArray(String[]::new))));
		}
		catch (ParseException ex) {
			throw CodedException.of(COMMAND_LINE, ex.getMessage() + "; see wisteriapost " + usage + " --help", ex);
		}
	}

	public Optional<String> option(String name) {
		return Optional.ofNullable(this.commandLine.getOptionValue(name));
	}

	/**
	 * Returns the value of an option; throws if the option is absent.
	 */
	public String required(String name) {
		return option(name).orElseThrow(() -> CodedException.of(COMMAND_LINE, "--" + name + " is required"));
	}

	/**
	 * Returns the value of a required integer option.
	 */
	public long requiredNumber(String name) {
		try {
			return Long.parseLong(required(name));
		}
		catch (NumberFormatException ex) {
			throw CodedException.of(COMMAND_LINE, "--" + name + " takes a whole number", ex);
		}
	}

	/**
	 * Returns the value of a required option that names a file.
	 */
	public Path requiredFile(String name) {
		return Path.of(required(name));
	}

	public boolean has(String name) {
		return this.commandLine.hasOption(name);
	}

	/**
	 * Returns the only positional argument; throws if there is none or more than one.
	 */
	public String singleArgument(String description) {
		List<String> positional = this.commandLine.getArgList();
		if (positional.size() != 1) {
			throw CodedException.of(COMMAND_LINE, "give exactly one " + description);
		}
		return positional.getFirst();
	}

	private static void printHelp(String usage, Options options, PrintStream out) {
		out.println("wisteriapost " + usage);
		out.println();
		options.getOptions().forEach((option) -> {
			String argument = option.hasArg() ? " " + option.getArgName() : "";
			out.printf("  --%-28s %s%n", option.getLongOpt() + argument, option.getDescription());
		});
	}

}
