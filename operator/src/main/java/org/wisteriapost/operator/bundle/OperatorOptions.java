package org.wisteriapost.operator.bundle;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;

import org.apache.commons.cli.Option;
import org.wisteriapost.operator.Arguments;
import org.wisteriapost.operator.ExternalSystems;

/**
 * Options shared by several commands, and the set-up they need.
 */
final class OperatorOptions {

	static final Option SETTINGS = Arguments.valueOption("settings", "FILE",
			"settings that name the platform and the operators");

	static final Option AS = Arguments.valueOption("as", "OPERATOR", "your name, as in [operator NAME]");

	private OperatorOptions() {
	}

	/**
	 * Parses the arguments and runs an action with the systems of {@code --settings}.
	 */
	static int runWithSystems(String usage, List<Option> options, List<String> args, PrintStream out, Action action) {
		Optional<Arguments> read = Arguments.parse(usage, options, args, out);
		if (read.isEmpty()) {
			return 0;
		}
		try (ExternalSystems systems = ExternalSystems.of(read.get().requiredFile("settings"))) {
			return action.run(read.get(), systems);
		}
	}

	/**
	 * Implementation of a command.
	 */
	interface Action {

		int run(Arguments arguments, ExternalSystems systems);

	}

}
