package org.wisteriapost.operator.check;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.Location;
import org.wisteriapost.operator.bundle.BundleDraft;

/**
 * Reports bundles without services. Activating one would shut down all services.
 */
public final class EmptyBundle implements BundleCheck {

	private static final Code CODE = Code.error("bundle-empty", "A bundle declares no service.");

	@Override
	public void check(BundleDraft draft, Findings findings) {
		if (draft.services().isEmpty()) {
			Location location = draft.settings().locate("bundle", "");
			findings.add(CODE, location, "no [service NAME] section", "declare at least one service");
		}
	}

}
