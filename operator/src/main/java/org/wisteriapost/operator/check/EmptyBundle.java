package org.wisteriapost.operator.check;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.Location;
import org.wisteriapost.operator.bundle.Draft;

/**
 * Finds a bundle without services: rolled, it would take every service out of service.
 */
public final class EmptyBundle implements BundleCheck {

	private static final Code CODE = Code.error("bundle-empty", "A bundle declares no service.");

	@Override
	public void check(Draft draft, Findings findings) {
		if (draft.services().isEmpty()) {
			Location location = draft.settings().locate("bundle", "");
			findings.add(CODE, location, "no [service NAME] section", "declare at least one service");
		}
	}

}
