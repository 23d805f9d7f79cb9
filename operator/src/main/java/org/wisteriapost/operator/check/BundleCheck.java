package org.wisteriapost.operator.check;

import org.wisteriapost.kernel.Findings;
import org.wisteriapost.operator.bundle.BundleDraft;

/**
 * Detects one kind of error in a bundle; implementations are registered with the service
 * loader.
 */
public interface BundleCheck {

	/**
	 * Adds a finding for each error.
	 */
	void check(BundleDraft draft, Findings findings);

}
