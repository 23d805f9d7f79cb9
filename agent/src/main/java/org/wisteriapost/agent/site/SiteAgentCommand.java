package org.wisteriapost.agent.site;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.kernel.command.ExitCodes;
import org.wisteriapost.protocol.site.SiteProvider;
import org.wisteriapost.protocol.site.SiteSettings;
import sun.misc.Signal;

/**
 * Runs the agent beside one engine of a site.
 */
public final class SiteAgentCommand implements Command {

	private static final Code SETTINGS_UNNAMED = Code.error("agent-settings-unnamed",
			"The environment does not name the site's settings file.");

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
		Path file = Path.of(Optional.ofNullable(System.getenv(site.settingsVariable()))
			.orElseThrow(() -> CodedException.of(SETTINGS_UNNAMED, site.settingsVariable())));
		SiteSettings settings = site.settings(file);
		try (SiteAgent agent = SiteAgent.start(settings, site, out)) {
			CompletableFuture<Void> stopped = new CompletableFuture<>();
			Signal.handle(new Signal("HUP"), (signal) -> agent.note("settings-read"));
			Signal.handle(new Signal("TERM"), (signal) -> stopped.complete(null));
			stopped.join();
			agent.note("stopping");
			return ExitCodes.OK;
		}
	}

}
