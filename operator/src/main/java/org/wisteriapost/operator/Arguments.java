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
 * A command's options, read by Commons CLI.
 */
public final class Arguments {

	private static final Code COMMAND_LINE = Code.error("command-line-rejected",
			"A command's options or arguments are not as its help says.");

	private final CommandLine line;

	private Arguments(CommandLine line) {
		this.line = line;
	}

	/**
	 * Returns an option that takes a value.
	 */
	public static Option value(String name, String argument, String help) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(help).get();
	}

	/**
	 * Returns an option that stands alone.
	 */
	public static Option flag(String name, String help) {
		return Option.builder().longOpt(name).desc(help).get();
	}

	/**
	 * Returns the arguments, or empty after printing help when that was asked for.
	 * @param usage the command with its plain arguments
	 */
	public static Optional<Arguments> read(String usage, List<Option> known, List<String> args, PrintStream out) {
		Options options = new Options();
		known.forEach(options::addOption);
		options.addOption(flag("help", "show this help"));
		if (args.contains("--help")) {
			help(usage, options, out);
			return Optional.empty();
		}
		try {
			return Optional.of(new Arguments(new DefaultParser().parse(options, args.toArray(String[]::new))));
		}
		catch (ParseException ex) {
			throw CodedException.of(COMMAND_LINE, ex.getMessage() + "; see wisteriapost " + usage + " --help", ex);
		}
	}

	/**
	 * Returns an option's value.
	 */
	public Optional<String> option(String name) {
		return Optional.ofNullable(this.line.getOptionValue(name));
	}

	/**
	 * Returns an option's value or fails with what is missing.
	 */
	public String required(String name) {
		return option(name).orElseThrow(() -> CodedException.of(COMMAND_LINE, "--" + name + " is required"));
	}

	/**
	 * Returns a required whole number.
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
	 * Returns a required file.
	 */
	public Path requiredFile(String name) {
		return Path.of(required(name));
	}

	public boolean has(String name) {
		return this.line.hasOption(name);
	}

	/**
	 * Returns the one plain argument or fails.
	 */
	public String only(String what) {
		List<String> plain = this.line.getArgList();
		if (plain.size() != 1) {
			throw CodedException.of(COMMAND_LINE, "give exactly one " + what);
		}
		return plain.getFirst();
	}

	private static void help(String usage, Options options, PrintStream out) {
		out.println("wisteriapost " + usage);
		out.println();
		options.getOptions().forEach((option) -> {
			String argument = option.hasArg() ? " " + option.getArgName() : "";
			out.printf("  --%-28s %s%n", option.getLongOpt() + argument, option.getDescription());
		});
	}

}
