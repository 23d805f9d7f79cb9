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
 * A site with so many entries that places keep to themselves, on which the start of one
 * more entry and of one agent is recorded: all that an entry loads when it hears the
 * store from others and tells them of its load is recorded too.
 */
public final class TrainingFleet {

	// With the recorded one more than EntryLinks links flat.
	private static final int ENTRIES = 18;

	private static final String[] PLACES = { EmulatedSite.FAILURE_DOMAIN, "hall-b" };

	private TrainingFleet() {
	}

	/**
	 * Runs the site.
	 * @param args the folder, and for how many seconds to call
	 */
	public static void main(String[] args) throws Exception {
		Path others = Files.createDirectories(Path.of(args[0], "others"));
		SiteProvider provider = SiteProvider.load();
		PrintStream quiet = new PrintStream(OutputStream.nullOutputStream());
		try (EmulatedSite site = EmulatedSite.start()) {
			for (int i = 2; i < 2 + ENTRIES; i++) {
				Path settings = site.writeEntrySettings(others, i, PLACES[i % PLACES.length]);
				DirectProcess.start(provider.settings(settings), provider, quiet);
			}
			TrainingWorkload.run(site, Path.of(args[0]), Long.parseLong(args[1]));
		}
		System.exit(0);
	}

}
