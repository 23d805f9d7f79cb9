package org.wisteriapost.entry.direct;

import java.io.PrintStream;
import java.util.List;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.kernel.command.Signals;
import org.wisteriapost.protocol.site.SiteProvider;

/**
 * Runs an entry on a site until it has left.
 */
public final class DirectCommand implements Command {

	@Override
	public String name() {
		return "site entry";
	}

	@Override
	public String summary() {
		return "answers callers on a site whose store tells routes and runners";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		SiteProvider site = SiteProvider.load();
		try (DirectProcess process = DirectProcess.start(site.settings(), site, out)) {
			Signals.on("HUP", () -> reload(process, site));
			Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(process), "entry-leave"));
			process.left().join();
			return ExitCodes.OK;
		}
	}

	// Addresses and bounds of a running process do not change; a file that can no longer
	// be read is said, and the process goes on with what it has.
	private static void reload(DirectProcess process, SiteProvider site) {
		try {
			site.settings();
			process.reloaded("read");
		}
		catch (CodedException ex) {
			process.reloaded(ex.getMessage());
		}
	}

	// The virtual machine ends when this hook returns, so the hook waits for the answers
	// in progress. Its own exit code would be 143, which reads as a crash; halt says 0.
	private static void leave(DirectProcess process) {
		process.leave().join();
		Runtime.getRuntime().halt(ExitCodes.OK);
	}

}
