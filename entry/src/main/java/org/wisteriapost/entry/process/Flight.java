package org.wisteriapost.entry.process;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.entry.caller.CallerCall;
import org.wisteriapost.entry.link.PeerLink;

/**
 * One request in progress and the attempt that may still answer it.
 */
final class Flight {

	private final CallerCall call;

	private final long arrivedNanos;

	private Optional<Attempt> attempt = Optional.empty();

	private boolean headOut;

	Flight(CallerCall call, long arrivedNanos) {
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
	 * Returns whether the caller has seen the answer's head.
	 */
	boolean headOut() {
		return this.headOut;
	}

	void markHeadOut() {
		this.headOut = true;
	}

	/**
	 * One sending of a request to one runner over one link.
	 */
	static final class Attempt {

		private final long callId;

		private final PeerLink peer;

		private final String weightsDigest;

		private final ByteArrayOutputStream held = new ByteArrayOutputStream();

		private Optional<Started> started = Optional.empty();

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

		ByteArrayOutputStream held() {
			return this.held;
		}

		Optional<Started> started() {
			return this.started;
		}

		void started(Started head) {
			this.started = Optional.of(head);
		}

	}

	/**
	 * An answer's head, held until there is data to send with it.
	 *
	 * @param status the HTTP status
	 * @param headers to pass on
	 */
	record Started(int status, List<Map.Entry<String, String>> headers) {
	}

}
