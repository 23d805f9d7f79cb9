package org.wisteriapost.policy.request;

/**
 * Urgency of a request to its caller, most urgent first.
 */
public enum Priority {

	/** Interactive work: a person waits, and the calling form times out. */
	URGENT,
	/** Ordinary work. */
	NORMAL,
	/** Work that can wait until load is low. */
	BULK

}
