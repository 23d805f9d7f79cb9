package org.wisteriapost.operator.explain;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;

/**
 * {@code explain}: traces one attempt through the logs of several processes.
 */
public final class ExplainCommand implements Command {

	private static final String USAGE = "usage: wisteriapost explain ATTEMPT FILE...";

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public String summary() {
		return "trace one attempt through log files, with the related state of each process";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		if (args.size() == 1 && args.getFirst().equals("--help")) {
			out.println(USAGE);
			return ExitCodes.OK;
		}
		if (args.size() < 2) {
			err.println(USAGE);
			return ExitCodes.BAD_INPUT;
		}
		List<Path> files = args.subList(1, args.size()).stream().map(Path::of).toList();
		List<Path> missing = files.stream().filter((file) -> !Files.isReadable(file)).toList();
		if (!missing.isEmpty()) {
			missing.forEach((file) -> err.println(file + " cannot be read"));
			return ExitCodes.BAD_INPUT;
		}
		try {
			AttemptTrace trace = AttemptTrace.of(args.getFirst(), files);
			if (trace.isEmpty()) {
				err.println("no line of these files belongs to attempt " + args.getFirst());
				return ExitCodes.FAILED;
			}
			trace.format().forEach(out::println);
			return ExitCodes.OK;
		}
		catch (IOException ex) {
			err.println(ex.getMessage());
			return ExitCodes.BAD_INPUT;
		}
	}

}
