package org.wisteriapost.entry;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wisteriapost.entry.process.EntryProcess;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.Location;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.kernel.settings.CommonSettings;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.kernel.settings.SettingsCheck;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.outside.ExternalSystemsProvider;
import org.wisteriapost.protocol.outside.ExternalSystemsProviders;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.tls.TlsSettings;

/**
 * The {@code entry} command, which runs an entry until it has drained.
 */
public final class EntryCommand implements Command {

	static final Code SECTION_MISSING = Code.error("settings-section-missing",
			"The settings lack the section of the role that is started.");

	private static final Logger LOG = System.getLogger(EntryCommand.class.getName());

	private static final int LINK_IO_THREADS = 2;

	private static final Options OPTIONS = new Options()
		.addOption(Option.builder()
			.longOpt("settings")
			.hasArg()
			.argName("FILE")
			.desc("the settings of this entry (INI)")
			.get())
		.addOption(Option.builder().longOpt("help").desc("shows this").get());

	@Override
	public String name() {
		return "entry";
	}

	@Override
	public String summary() {
		return "answers callers and routes their requests to runners";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		try {
			CommandLine line = new DefaultParser().parse(OPTIONS, args.toArray(String[]::new));
			if (line.hasOption("help")) {
				printHelp(out);
				return ExitCodes.OK;
			}
			if (!line.hasOption("settings") || !line.getArgList().isEmpty()) {
				printHelp(err);
				return ExitCodes.BAD_INPUT;
			}
			return run(Settings.read(Path.of(line.getOptionValue("settings"))), out, err);
		}
		catch (ParseException ex) {
			err.println(ex.getMessage());
			return ExitCodes.BAD_INPUT;
		}
	}

	private int run(Settings settings, PrintStream out, PrintStream err) {
		Findings findings = SettingsCheck.run(settings);
		if (!settings.sections().contains(EntrySettings.SECTION)) {
			Location missing = settings.locate(EntrySettings.SECTION, "");
			findings.add(SECTION_MISSING, missing, "no section [entry]", "add [entry] with its keys");
		}
		if (!findings.isEmpty()) {
			findings.list().forEach(err::println);
			return ExitCodes.BAD_INPUT;
		}
		return serve(settings, ExternalSystemsProviders.of(settings), out);
	}

	private static int serve(Settings settings, ExternalSystemsProvider provider, PrintStream out) {
		try (PooledHttpClient caller = PooledHttpClient.create(1);
				Platform platform = provider.platform(caller, CommonSettings.PLATFORM.get(settings));
				VmList vms = provider.vmList(caller, CommonSettings.VM_LIST.get(settings));
				Links links = TlsSettings.links(settings, LINK_IO_THREADS);
				EntryProcess process = EntryProcess.start(settings, platform, vms, links)) {
			Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(process), "entry-leave"));
			out.printf("{\"ready\":\"entry\",\"httpPort\":%d,\"linkPort\":%d,\"adminPort\":%d}%n", process.httpPort(),
					process.linkPort(), process.adminPort());
			out.flush();
			process.ended().join();
			LOG.log(Level.INFO, "entry-drained: all answers were sent");
			return ExitCodes.OK;
		}
		catch (CodedException ex) {
			LOG.log(Level.ERROR, "entry-not-started: " + ex.getMessage());
			return ExitCodes.UNAVAILABLE;
		}
	}

	// The JVM exits when its shutdown hooks return, so this one waits for the answers in
	// progress. The exit code after a signal would be 143, which supervisors take for a
	// failure; halt sets 0.
	private static void drain(EntryProcess entry) {
		LOG.log(Level.INFO, "entry-leaving: shutdown signal received, draining");
		entry.drain().join();
		entry.closeConnections();
		Runtime.getRuntime().halt(ExitCodes.OK);
	}

	private static void printHelp(PrintStream to) {
		PrintWriter writer = new PrintWriter(to, true);
		writer.println("wisteriapost entry --settings FILE");
		OPTIONS.getOptions()
			.forEach((option) -> writer.printf("  --%-16s %s%n",
					option.getLongOpt() + (option.hasArg() ? " " + option.getArgName() : ""), option.getDescription()));
		writer.flush();
	}

}
