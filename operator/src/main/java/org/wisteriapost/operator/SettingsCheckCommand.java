package org.wisteriapost.operator;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.kernel.settings.SettingsCheck;

/**
 * {@code settings check}: validates a settings file and prints all findings.
 */
public final class SettingsCheckCommand implements Command {

	@Override
	public String name() {
		return "settings check";
	}

	@Override
	public String summary() {
		return "check a settings file and show all findings";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		Optional<Arguments> arguments = Arguments.parse(name() + " FILE", List.of(), args, out);
		if (arguments.isEmpty()) {
			return ExitCodes.OK;
		}
		Findings findings = SettingsCheck.run(Settings.read(Path.of(arguments.get().singleArgument("settings file"))));
		findings.list().forEach(err::println);
		return findings.isEmpty() ? ExitCodes.OK : ExitCodes.BAD_INPUT;
	}

}
