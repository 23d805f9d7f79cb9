package org.wisteriapost.standin.bench;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.ServiceLoader;

import org.apache.commons.cli.ParseException;
import org.wisteriapost.kernel.command.ExitCodes;

/**
 * Entry point of {@code scripts/bench}.
 */
public final class Bench {

	private Bench() {
	}

	/**
	 * Runs the benchmark named by the first argument and exits with its exit code.
	 */
	public static void main(String[] args) {
		List<BenchCommand> commands = ServiceLoader.load(BenchCommand.class)
			.stream()
			.map(ServiceLoader.Provider::get)
			.sorted(Comparator.comparing(BenchCommand::name))
			.toList();
		String name = (args.length > 0) ? args[0] : "";
		for (BenchCommand command : commands) {
			if (command.name().equals(name)) {
				List<String> rest = Arrays.asList(args).subList(1, args.length);
				System.exit(run(command, rest));
			}
		}
		System.err.println("usage: scripts/bench COMMAND ...");
		commands.forEach((command) -> System.err.println("  " + command.name() + "  " + command.summary()));
		System.exit(ExitCodes.BAD_INPUT);
	}

	private static int run(BenchCommand command, List<String> args) {
		try {
			return command.run(args, System.out);
		}
		catch (ParseException ex) {
			System.err.println(ex.getMessage());
			return ExitCodes.BAD_INPUT;
		}
	}

}
