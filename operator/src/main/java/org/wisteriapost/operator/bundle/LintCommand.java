package org.wisteriapost.operator.bundle;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.operator.Arguments;

/**
 * {@code bundle lint}: validates a bundle file and prints all findings.
 */
public final class LintCommand implements Command {

	@Override
	public String name() {
		return "bundle lint";
	}

	@Override
	public String summary() {
		return "check a bundle file and show all findings";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		Optional<Arguments> arguments = Arguments.parse(name() + " FILE", List.of(), args, out);
		if (arguments.isEmpty()) {
			return ExitCodes.OK;
		}
		Findings findings = new Findings();
		BundleLint.run(Path.of(arguments.get().singleArgument("bundle file")), findings);
		findings.list().forEach(err::println);
		return findings.isEmpty() ? ExitCodes.OK : ExitCodes.BAD_INPUT;
	}

}
