package org.wisteriapost.policy.routing;

/**
 * What may be repeated of a route's requests.
 */
public enum RouteKind {

	/** May run any number of times. */
	IDEMPOTENT,
	/** Runs at most once for each attempt of a caller. */
	AT_MOST_ONCE,
	/** Answered as a stream of events. */
	STREAM

}
