package org.wisteriapost.operator.bundle;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;

import org.apache.commons.cli.Option;
import org.wisteriapost.operator.Arguments;
import org.wisteriapost.operator.Surroundings;

/**
 * Options that several commands share.
 */
final class OperatorOptions {

	static final Option SETTINGS = Arguments.value("settings", "FILE",
			"settings that name the platform and the operators");

	static final Option AS = Arguments.value("as", "OPERATOR", "your name, as in [operator NAME]");

	private OperatorOptions() {
	}

	/**
	 * Runs a command body with the surroundings of {@code --settings}.
	 */
	static int with(String usage, List<Option> options, List<String> args, PrintStream out, Body body) {
		Optional<Arguments> read = Arguments.read(usage, options, args, out);
		if (read.isEmpty()) {
			return 0;
		}
		try (Surroundings surroundings = Surroundings.of(read.get().requiredFile("settings"))) {
			return body.run(read.get(), surroundings);
		}
	}

	/**
	 * What a command does.
	 */
	interface Body {

		int run(Arguments arguments, Surroundings surroundings);

	}

}
