package org.wisteriapost.agent.site;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.kernel.command.Signals;
import org.wisteriapost.protocol.site.SiteProvider;

/**
 * Runs the agent of one engine on a site.
 */
public final class SiteAgentCommand implements Command {

	@Override
	public String name() {
		return "site agent";
	}

	@Override
	public String summary() {
		return "brings weights to the engine on its VM, on a site whose store names them";
	}

	@Override
	public int run(List<String> args, PrintStream out, PrintStream err) {
		SiteProvider site = SiteProvider.load();
		try (SiteAgent agent = SiteAgent.start(site.settings(), site, out)) {
			CompletableFuture<Void> stopped = new CompletableFuture<>();
			Signals.on("HUP", () -> agent.logEvent("settings-read"));
			Signals.on("TERM", () -> stopped.complete(null));
			stopped.join();
			agent.logEvent("stopping");
			return ExitCodes.OK;
		}
	}

}
