package org.wisteriapost.operator.check;

import org.wisteriapost.kernel.Findings;
import org.wisteriapost.operator.bundle.Draft;

/**
 * Looks for one kind of mistake in a bundle; registers with the service loader.
 */
public interface BundleCheck {

	/**
	 * Adds a finding for each mistake of this kind.
	 */
	void check(Draft draft, Findings findings);

}
