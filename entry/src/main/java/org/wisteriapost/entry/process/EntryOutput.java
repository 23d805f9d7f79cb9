package org.wisteriapost.entry.process;

import java.util.List;

import org.wisteriapost.entry.caller.ServiceView;
import org.wisteriapost.policy.membership.Member;

/**
 * What the event loop asks of the I/O around it; no method blocks.
 */
public interface EntryOutput {

	/**
	 * Reads a bundle from the platform; the answer comes as an event, a failure not at
	 * all.
	 */
	void readBundle(String digest);

	/**
	 * Links to exactly these VMs.
	 */
	void keepLinks(List<Member> members);

	/**
	 * Shows the HTTP side what is known now.
	 */
	void publish(ServiceView view);

	/**
	 * Returns whether the last byte of every answer has gone out.
	 */
	boolean idle();

	/**
	 * Says that this entry has drained and may end.
	 */
	void drained();

}
