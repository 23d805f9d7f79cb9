package org.wisteriapost.operator.bundle;

import java.nio.file.Path;
import java.util.ServiceLoader;

import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.operator.check.BundleCheck;

/**
 * Parses a bundle file and runs all registered checks.
 */
final class BundleLint {

	private BundleLint() {
	}

	/**
	 * Returns the parsed bundle; errors are added to the findings.
	 */
	static BundleDraft run(Path file, Findings findings) {
		return run(Settings.read(file), findings);
	}

	static BundleDraft run(Settings settings, Findings findings) {
		BundleDraft draft = BundleDraft.read(settings, findings);
		ServiceLoader.load(BundleCheck.class).forEach((check) -> check.check(draft, findings));
		return draft;
	}

}
