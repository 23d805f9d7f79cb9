package org.wisteriapost.policy.quarantine;

/**
 * Numbers the changes of the rows that entries tell each other.
 */
final class ChangeSequence {

	private long last;

	long next() {
		return ++this.last;
	}

	long last() {
		return this.last;
	}

}
