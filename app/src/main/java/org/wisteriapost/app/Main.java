package org.wisteriapost.app;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;

/**
 * Entry point of the binary: dispatches to the {@link Command} that its arguments name.
 */
public final class Main {

	private static final String VERSION = "0.1.0";

	private Main() {
	}

	/**
	 * Runs a command and exits with its exit code.
	 */
	public static void main(String[] args) {
		System.exit(run(List.of(args), System.out, System.err));
	}

	static int run(List<String> args, PrintStream out, PrintStream err) {
		List<Command> commands = new ArrayList<>();
		ServiceLoader.load(Command.class).forEach(commands::add);
		commands.sort(Comparator.comparing(Command::name));
		if (args.isEmpty() || args.getFirst().equals("--help") || args.getFirst().equals("help")) {
			printHelp(commands, out);
			return args.isEmpty() ? ExitCodes.BAD_INPUT : ExitCodes.OK;
		}
		if (args.getFirst().equals("--version")) {
			out.println("wisteriapost " + VERSION);
			return ExitCodes.OK;
		}
		Optional<Command> command = commands.stream().filter((candidate) -> matches(candidate, args)).findFirst();
		if (command.isEmpty()) {
			err.println("no such command: " + String.join(" ", args) + "; wisteriapost --help lists the commands");
			return ExitCodes.BAD_INPUT;
		}
		return run(command.get(), args, out, err);
	}

	private static int run(Command command, List<String> args, PrintStream out, PrintStream err) {
		try {
			return command.run(args.subList(command.name().split(" ").length, args.size()), out, err);
		}
		catch (CodedException ex) {
			err.println(ex.getMessage());
			return (ex.code().severity() == Code.Severity.UNAVAILABLE) ? ExitCodes.UNAVAILABLE : ExitCodes.BAD_INPUT;
		}
	}

	private static boolean matches(Command command, List<String> args) {
		List<String> name = List.of(command.name().split(" "));
		return args.size() >= name.size() && args.subList(0, name.size()).equals(name);
	}

	private static void printHelp(List<Command> commands, PrintStream out) {
		out.println("wisteriapost: distributes a signed bundle of model weights to every VM");
		out.println();
		commands.forEach((command) -> out.printf("  %-18s %s%n", command.name(), command.summary()));
		out.println();
		out.println("wisteriapost COMMAND --help shows a command's options.");
		out.println(
				"Exit codes: 0 success, 1 failure, 2 invalid input (nothing was started), 3 outside system unavailable.");
	}

}
