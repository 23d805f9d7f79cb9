package org.wisteriapost.policy.routing;

/**
 * Which of a route's requests may be retried.
 */
public enum RouteKind {

	/** May run any number of times. */
	IDEMPOTENT,
	/** Runs at most once for each attempt of a caller. */
	AT_MOST_ONCE,
	/** Answered as a stream of events. */
	STREAM

}
