package org.wisteriapost.protocol.site;

/**
 * The kinds of objects that wisteriapost reads or writes in a site's store.
 */
public enum Kind {

	/** The declaration of traffic; one object. */
	ROUTES,
	/** Runners, written by themselves. */
	RUNNERS,
	/** Named weights, written by operators. */
	WEIGHTS,
	/** Entries, written by themselves. */
	ENTRIES

}
