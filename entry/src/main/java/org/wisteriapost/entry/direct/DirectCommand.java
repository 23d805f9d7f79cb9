package org.wisteriapost.entry.direct;

import java.io.PrintStream;
import java.util.List;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.kernel.command.Signals;
import org.wisteriapost.protocol.site.SiteProvider;

/**
 * Runs a site's entry until it has shut down.
 */
public final class DirectCommand implements Command {

	@Override
	public String name() {
		return "site entry";
	}

	@Override
	public String summary() {
		return "serves callers on a site, with routes and runners from the site's store";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		SiteProvider site = SiteProvider.load();
		try (DirectProcess process = DirectProcess.start(site.settings(), site, out)) {
			Signals.on("HUP", () -> reload(process, site));
			Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(process), "entry-leave"));
			process.termination().join();
			return ExitCodes.OK;
		}
	}

	// The settings of a running process do not change. Rereading the file only logs
	// whether it is valid.
	private static void reload(DirectProcess process, SiteProvider site) {
		try {
			site.settings();
			process.reloaded("read");
		}
		catch (CodedException ex) {
			process.reloaded(ex.getMessage());
		}
	}

	// The JVM exits when this hook returns, so the hook waits for requests in progress.
	// After SIGTERM the exit code would be 143, which supervisors take for a crash; halt
	// sets 0.
	private static void leave(DirectProcess process) {
		process.leave().join();
		process.close();
		Runtime.getRuntime().halt(ExitCodes.OK);
	}

}
