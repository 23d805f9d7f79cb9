package org.wisteriapost.entry.process;

import java.util.List;

import org.wisteriapost.entry.caller.EntryView;
import org.wisteriapost.policy.membership.Member;

/**
 * The I/O operations that an entry's event loop requests. No method blocks.
 */
public interface EntryOutput {

	/**
	 * Reads a bundle from the platform. The result arrives as an
	 * {@link EntryEvent.BundleRead}; a failure is not reported.
	 */
	void readBundle(String digest);

	/**
	 * Opens and closes links so that they lead to exactly these VMs.
	 */
	void reconcileLinks(List<Member> members);

	/**
	 * Publishes the current state to the HTTP threads.
	 */
	void publish(EntryView view);

	/**
	 * Returns whether all answers were sent completely.
	 */
	boolean idle();

	/**
	 * Reports that this entry has drained and its process may end.
	 */
	void drained();

}
