package org.wisteriapost.entry.process;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.entry.caller.CallerCall;
import org.wisteriapost.entry.link.PeerLink;

/**
 * A request in progress and its current dispatch attempt, if any.
 */
final class ActiveRequest {

	private final CallerCall call;

	private final long arrivedNanos;

	private Optional<Attempt> attempt = Optional.empty();

	private boolean headSent;

	ActiveRequest(CallerCall call, long arrivedNanos) {
		this.call = call;
		this.arrivedNanos = arrivedNanos;
	}

	CallerCall call() {
		return this.call;
	}

	long id() {
		return this.call.id();
	}

	long arrivedNanos() {
		return this.arrivedNanos;
	}

	Optional<Attempt> attempt() {
		return this.attempt;
	}

	void attempt(Attempt next) {
		this.attempt = Optional.of(next);
	}

	void endAttempt() {
		this.attempt = Optional.empty();
	}

	/**
	 * Returns whether the answer's head was sent to the caller.
	 */
	boolean headSent() {
		return this.headSent;
	}

	void markHeadSent() {
		this.headSent = true;
	}

	/**
	 * A dispatch of a request to a runner over one link.
	 */
	static final class Attempt {

		private final long callId;

		private final PeerLink peer;

		private final String weightsDigest;

		private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

		private Optional<AnswerHead> head = Optional.empty();

		Attempt(long callId, PeerLink peer, String weightsDigest) {
			this.callId = callId;
			this.peer = peer;
			this.weightsDigest = weightsDigest;
		}

		long callId() {
			return this.callId;
		}

		PeerLink peer() {
			return this.peer;
		}

		String weightsDigest() {
			return this.weightsDigest;
		}

		ByteArrayOutputStream buffer() {
			return this.buffer;
		}

		Optional<AnswerHead> head() {
			return this.head;
		}

		void head(AnswerHead head) {
			this.head = Optional.of(head);
		}

	}

	/**
	 * An answer's status and headers, buffered until there is data to send with them.
	 *
	 * @param status the HTTP status
	 * @param headers the headers to pass to the caller
	 */
	record AnswerHead(int status, List<Map.Entry<String, String>> headers) {
	}

}
