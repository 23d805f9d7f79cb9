package org.wisteriapost.entry.direct;

import java.util.List;
import java.util.Optional;

import org.wisteriapost.policy.routing.CallLimits;

/**
 * What the front may ask of the entry and tell it; for any thread.
 */
interface DirectPort {

	/**
	 * Takes an event; false when there is no room for it.
	 */
	boolean offer(DirectEvent event);

	/**
	 * Takes an event that must not be lost.
	 */
	void put(DirectEvent event);

	/**
	 * Returns whether requests can be answered now.
	 */
	boolean ready();

	/**
	 * Returns whether the entry was told to leave.
	 */
	boolean leaving();

	/**
	 * Returns the addresses of ready entries, {@code IP:PORT}.
	 * @param place where the caller is, when it tells
	 */
	List<String> addresses(Optional<String> place);

	/**
	 * Returns what callers may send, once it is known.
	 */
	Optional<CallLimits> limits();

	/**
	 * Returns whether what is declared is known recently enough to call a request wrong
	 * by it.
	 */
	boolean mayReject();

}
