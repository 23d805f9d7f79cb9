package org.wisteriapost.operator.report;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.operator.Arguments;
import org.wisteriapost.operator.ExternalSystems;
import org.wisteriapost.policy.burn.BurnReport;
import org.wisteriapost.policy.burn.BurnSnapshot;
import org.wisteriapost.policy.burn.ObjectiveSettings;
import org.wisteriapost.protocol.outside.Platform;

/**
 * {@code report burn}: prints the burn rate of each objective's error budget, computed
 * from the snapshots that entries write to the platform every minute.
 */
public final class BurnCommand implements Command {

	private static final Code NO_OBJECTIVES = Code.error("objectives-missing",
			"The settings have no [objective NAME] section to report on.");

	private static final Code REPORT_NOT_WRITTEN = Code.error("report-not-written", "The report cannot be written.");

	private static final JsonMapper JSON = JsonMapper.builder().build();

	@Override
	public String name() {
		return "report burn";
	}

	@Override
	public String summary() {
		return "show how fast each objective's error budget is spent, by whom and on what";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		Optional<Arguments> arguments = Arguments.parse(name(),
				List.of(Arguments.valueOption("settings", "FILE", "settings that name the platform and the objectives"),
						Arguments.flagOption("json", "print JSON instead of text"),
						Arguments.valueOption("html", "FILE", "also write a page with plots")),
				args, out);
		if (arguments.isEmpty()) {
			return ExitCodes.OK;
		}
		try (ExternalSystems systems = ExternalSystems.of(arguments.get().requiredFile("settings"))) {
			BurnReport report = report(systems);
			out.print(arguments.get().has("json") ? json(report) + "\n" : BurnText.of(report));
			arguments.get().option("html").ifPresent((file) -> write(Path.of(file), BurnPage.of(report)));
			return ExitCodes.OK;
		}
	}

	private static BurnReport report(ExternalSystems systems) {
		List<BurnSnapshot> snapshots = ExternalSystems.await(systems.platform().list("burn/"))
			.items()
			.stream()
			.map(BurnCommand::snapshot)
			.toList();
		var objectives = ObjectiveSettings.read(systems.settings());
		if (objectives.isEmpty()) {
			throw CodedException.of(NO_OBJECTIVES, "write at least one");
		}
		return BurnReport.of(objectives, snapshots, System.currentTimeMillis());
	}

	private static BurnSnapshot snapshot(Platform.Stored stored) {
		try {
			return JSON.readValue(stored.value(), BurnSnapshot.class);
		}
		catch (IOException ex) {
			throw CodedException.of(REPORT_NOT_WRITTEN, stored.key() + " is not a valid burn snapshot", ex);
		}
	}

	private static String json(BurnReport report) {
		try {
			return JSON.writeValueAsString(report);
		}
		catch (JsonProcessingException ex) {
			throw CodedException.of(REPORT_NOT_WRITTEN, "as JSON", ex);
		}
	}

	private static void write(Path file, String page) {
		try {
			Files.writeString(file, page);
		}
		catch (IOException ex) {
			throw CodedException.of(REPORT_NOT_WRITTEN, file.toString(), ex);
		}
	}

}
