package org.wisteriapost.entry.direct;

import java.util.List;
import java.util.Optional;

import org.wisteriapost.policy.region.DirectoryQuery;
import org.wisteriapost.policy.routing.CallLimits;

/**
 * The HTTP server's access to the entry: published state and an event queue. Thread-safe.
 */
interface EntryHandle {

	/**
	 * Enqueues an event; returns false when the queue is full.
	 */
	boolean offer(DirectEvent event);

	/**
	 * Enqueues an event that must not be dropped.
	 */
	void put(DirectEvent event);

	/**
	 * Returns whether the entry can serve requests.
	 */
	boolean ready();

	/**
	 * Returns whether the entry is shutting down.
	 */
	boolean leaving();

	/**
	 * Returns the addresses of the ready entries that a caller is to use,
	 * {@code IP:PORT}.
	 */
	List<String> addresses(DirectoryQuery query);

	/**
	 * Returns the declared limits of requests, once known.
	 */
	Optional<CallLimits> limits();

	/**
	 * Returns the count of answers that are not sent whole.
	 */
	OpenAnswers openAnswers();

	/**
	 * Returns whether the declared routes and limits were confirmed recently enough to
	 * reject a request by them.
	 */
	boolean mayReject();

}
