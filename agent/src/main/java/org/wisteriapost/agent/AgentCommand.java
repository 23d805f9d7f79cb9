package org.wisteriapost.agent;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.kernel.settings.Settings;

/**
 * Runs the agent of one endpoint VM until it has drained or stopped on an error.
 */
public final class AgentCommand implements Command {

	private static final String USAGE = "usage: wisteriapost agent --settings FILE";

	@Override
	public String name() {
		return "agent";
	}

	@Override
	public String summary() {
		return "runs beside a runner: fetches weights, orders the engine, gates calls";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		Options options = new Options()
			.addOption(Option.builder("s").longOpt("settings").hasArg().argName("FILE").desc("INI file").get())
			.addOption(Option.builder("h").longOpt("help").desc("shows this").get());
		try {
			CommandLine line = new DefaultParser().parse(options, args.toArray(String[]::new));
			if (line.hasOption("help")) {
				out.println(USAGE);
				out.println("  --settings FILE  sections [process], [outside], [agent], [transfer], [operator NAME]");
				out.println("Prints one JSON line when it is up. SIGTERM drains it; exit 0 when it has drained.");
				return ExitCodes.OK;
			}
			if (!line.hasOption("settings") || !line.getArgList().isEmpty()) {
				err.println(USAGE);
				return ExitCodes.BAD_INPUT;
			}
			return serve(Settings.read(Path.of(line.getOptionValue("settings"))), out, err);
		}
		catch (ParseException ex) {
			err.println(ex.getMessage() + "; " + USAGE);
			return ExitCodes.BAD_INPUT;
		}
	}

	private static int serve(Settings settings, PrintStream out, PrintStream err) {
		AgentSettings.validate(settings);
		try (AgentProcess process = AgentProcess.start(settings, ExternalSystems.of(settings))) {
			out.println(process.readyLine());
			out.flush();
			Thread hook = new Thread(() -> drainAndExit(process), "leave");
			Runtime.getRuntime().addShutdownHook(hook);
			String code = process.awaitStop();
			if (!code.isEmpty()) {
				err.println(code);
			}
			return exitCode(code);
		}
	}

	/**
	 * Drains on a signal and then halts with an explicit exit code. The JVM's default
	 * code for a signal would make a supervisor treat a clean drain as a crash.
	 */
	private static void drainAndExit(AgentProcess process) {
		process.leave();
		Runtime.getRuntime().halt(exitCode(process.awaitStop()));
	}

	private static int exitCode(String code) {
		return code.isEmpty() ? ExitCodes.OK : ExitCodes.FAILED;
	}

}
