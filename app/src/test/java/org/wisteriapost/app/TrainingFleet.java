package org.wisteriapost.app;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

import org.wisteriapost.entry.direct.DirectProcess;
import org.wisteriapost.platform.emulator.EmulatedSite;
import org.wisteriapost.platform.emulator.TrainingWorkload;
import org.wisteriapost.protocol.site.SiteProvider;

/**
 * Fleet of entries on an emulated site, beside which {@code deploy/build.sh} records the
 * class archives of one entry and one agent. It has enough entries to be scoped by
 * failure domain, so that the archive also holds the classes that an entry loads when it
 * follows a leader and reports its in-flight load to peers.
 */
public final class TrainingFleet {

	// Together with the recorded entry, more than EntryLinks links in a full mesh.
	private static final int FLEET_ENTRIES = 18;

	private static final String[] FAILURE_DOMAINS = { EmulatedSite.FAILURE_DOMAIN, "hall-b" };

	private TrainingFleet() {
	}

	/**
	 * Runs the fleet.
	 * @param args the folder for settings, and the duration of the calls in seconds
	 */
	public static void main(String[] args) throws Exception {
		Path folder = Files.createDirectories(Path.of(args[0], "others"));
		SiteProvider provider = SiteProvider.load();
		PrintStream discardedOutput = new PrintStream(OutputStream.nullOutputStream());
		try (EmulatedSite site = EmulatedSite.start()) {
			for (int i = 2; i < 2 + FLEET_ENTRIES; i++) {
				Path settings = site.writeEntrySettings(folder, i, FAILURE_DOMAINS[i % FAILURE_DOMAINS.length]);
				DirectProcess.start(provider.settings(settings), provider, discardedOutput);
			}
			TrainingWorkload.run(site, Path.of(args[0]), Long.parseLong(args[1]));
		}
		System.exit(0);
	}

}
