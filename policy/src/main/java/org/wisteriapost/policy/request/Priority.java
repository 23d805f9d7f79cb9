package org.wisteriapost.policy.request;

/**
 * How urgent a request is to its caller, most urgent first.
 */
public enum Priority {

	/** A person waits at a form that times out. */
	URGENT,
	/** Ordinary work. */
	NORMAL,
	/** Work that may wait for quiet hours. */
	BULK

}
