package org.wisteriapost.protocol.site;

/**
 * Up to which revision a {@link StoreWatcher} has read, and in which epoch of the store.
 *
 * A store that was restored from a copy soon passes the revision up to which it was read
 * before. A watch from there would report no failure and never what was written between
 * the copy and that revision. So a revision is only used in the epoch in which it was
 * read, and an answer of an earlier epoch is not used.
 */
final class ReadPosition {

	private static final long NO_REVISION = -1;

	private long revision = NO_REVISION;

	private long epoch = ObjectStore.UNKNOWN_EPOCH;

	private long latestEpoch = ObjectStore.UNKNOWN_EPOCH;

	// For the log: unlike the revision it is kept until the next listing.
	private long lastRevision = NO_REVISION;

	/**
	 * Returns whether the changes since the last read can be requested; otherwise all
	 * objects have to be listed.
	 */
	boolean isKnown() {
		return this.revision != NO_REVISION;
	}

	long revision() {
		return this.revision;
	}

	long epoch() {
		return this.epoch;
	}

	/**
	 * Returns the revision up to which was read before the position was discarded.
	 */
	long lastRevision() {
		return this.lastRevision;
	}

	/**
	 * Records that everything up to a revision was read.
	 */
	void readUpTo(long read) {
		this.revision = read;
		this.lastRevision = read;
	}

	/**
	 * Makes the next read a listing.
	 */
	void discard() {
		this.revision = NO_REVISION;
	}

	/**
	 * Records the epoch of an answer and returns whether it was not known.
	 */
	boolean beginEpoch(long read) {
		boolean later = read > this.epoch;
		if (later) {
			this.epoch = read;
			this.latestEpoch = Math.max(this.latestEpoch, read);
		}
		return later;
	}

	/**
	 * Records an epoch that was read elsewhere and returns whether the position belongs
	 * to an earlier one.
	 */
	boolean isOutdatedBy(long observed) {
		this.latestEpoch = Math.max(this.latestEpoch, observed);
		return isKnown() && this.epoch < this.latestEpoch;
	}

	/**
	 * Returns whether an answer is of an earlier epoch than is known of.
	 */
	boolean isOutdated(long answerEpoch) {
		return answerEpoch != ObjectStore.UNKNOWN_EPOCH && answerEpoch < this.latestEpoch;
	}

	/**
	 * Returns whether an answer is of the epoch of the position, as far as it tells.
	 */
	boolean isOfEpoch(long answerEpoch) {
		return answerEpoch == ObjectStore.UNKNOWN_EPOCH || answerEpoch == this.epoch;
	}

	/**
	 * Continues from what was received from a peer, if that is later, and returns whether
	 * it begins another epoch.
	 */
	boolean continueFrom(long peerEpoch, long peerRevision) {
		if (!isKnown()) {
			return false;
		}
		if (peerEpoch == this.epoch) {
			this.revision = Math.max(this.revision, peerRevision);
			return false;
		}
		boolean later = beginEpoch(peerEpoch);
		this.revision = later ? peerRevision : NO_REVISION;
		return later;
	}

}
