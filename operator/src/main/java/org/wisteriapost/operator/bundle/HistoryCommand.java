package org.wisteriapost.operator.bundle;

import java.io.PrintStream;
import java.time.Instant;
import java.util.List;

import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;

/**
 * {@code bundle history}: lists all rolls.
 */
public final class HistoryCommand implements Command {

	@Override
	public String name() {
		return "bundle history";
	}

	@Override
	public String summary() {
		return "list every roll, oldest first";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		return OperatorOptions.runWithSystems(name(), List.of(OperatorOptions.SETTINGS), args, out,
				(arguments, systems) -> {
					new BundleStore(systems.platform()).history()
						.forEach((head) -> out.printf("%d %s %s %s%n", head.generation(),
								Instant.ofEpochMilli(head.atMillis()), head.author(), head.digest()));
					return ExitCodes.OK;
				});
	}

}
