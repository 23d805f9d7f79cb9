package org.wisteriapost.policy.quarantine;

import java.util.Optional;
import java.util.Set;

/**
 * A change of what this entry believes of a request or a part of prompts.
 */
public sealed interface QuarantineChange {

	/**
	 * A runner crashed while it processed the request.
	 *
	 * @param contentHash the hash of the request's content
	 * @param losses the known losses of the request
	 */
	record Suspected(long contentHash, int losses) implements QuarantineChange {
	}

	/**
	 * The request is a poison request and is refused.
	 *
	 * @param contentHash the hash of the request's content
	 * @param losses the losses that count
	 * @param forMillis how long it is refused
	 * @param source the entry from which the last loss was learnt; empty for this one
	 */
	record Quarantined(long contentHash, int losses, long forMillis,
			Optional<String> source) implements QuarantineChange {
	}

	/**
	 * The request was completed and is not suspected any more.
	 *
	 * @param contentHash the hash of the request's content
	 * @param source the entry that completed it; empty for this one
	 */
	record Cleared(long contentHash, Optional<String> source) implements QuarantineChange {
	}

	/**
	 * The request is not refused any more, since its quarantine has ended or another
	 * request explains the losses.
	 *
	 * @param contentHash the hash of the request's content
	 */
	record Released(long contentHash) implements QuarantineChange {
	}

	/**
	 * A runner crashed before a request with this part had gone on.
	 *
	 * @param part the part of the prompt
	 * @param losses the known losses since an answer last went on with it
	 */
	record PartSuspected(long part, int losses) implements QuarantineChange {
	}

	/**
	 * Requests with all of these parts crash runners and are refused.
	 *
	 * @param parts the parts of the prompt; which one of them it is, is not known
	 * @param losses the losses that count
	 * @param forMillis how long they are refused
	 */
	record PartsQuarantined(Set<Long> parts, int losses, long forMillis) implements QuarantineChange {
	}

	/**
	 * Requests with these parts are not refused any more, since the quarantine has ended
	 * or the parts are not the cause.
	 *
	 * @param parts the parts of the prompt
	 */
	record PartsReleased(Set<Long> parts) implements QuarantineChange {
	}

}
