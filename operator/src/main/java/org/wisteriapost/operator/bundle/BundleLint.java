package org.wisteriapost.operator.bundle;

import java.nio.file.Path;
import java.util.ServiceLoader;

import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.operator.check.BundleCheck;

/**
 * Reads a bundle file and runs every registered check over it.
 */
final class BundleLint {

	private BundleLint() {
	}

	/**
	 * Returns the draft; its mistakes are added to the findings.
	 */
	static Draft run(Path file, Findings findings) {
		return run(Settings.read(file), findings);
	}

	static Draft run(Settings settings, Findings findings) {
		Draft draft = Draft.read(settings, findings);
		ServiceLoader.load(BundleCheck.class).forEach((check) -> check.check(draft, findings));
		return draft;
	}

}
