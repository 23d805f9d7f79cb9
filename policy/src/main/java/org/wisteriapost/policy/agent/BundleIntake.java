package org.wisteriapost.policy.agent;

import java.util.Optional;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;

/**
 * Gets the head's bundle and accepts it only with the content and the approvals that it
 * must have. What is refused changes nothing: the bundle in force stays.
 */
final class BundleIntake {

	private static final Code WRONG_CONTENT = Code.error("bundle-content-mismatch",
			"The bytes given as a bundle do not have the digest that the head names.");

	private static final Code UNAPPROVED = Code.error("bundle-unapproved",
			"The head names a bundle without enough valid approvals of configured operators.");

	private static final Code MISSING = Code.warning("bundle-unavailable",
			"Neither an entry nor the platform gave the head's bundle.");

	// Approvals or content may be late at one source; a second's wait costs little
	// against
	// the eight seconds in which a change is to be in force, and a refused bundle that
	// stays
	// refused costs one read in thirty seconds.
	private static final long FIRST_RETRY_NANOS = 500_000_000L;

	private static final long LAST_RETRY_NANOS = 30_000_000_000L;

	private final AgentIdentity self;

	private final OperatorKeys operators;

	private final Invariants invariants;

	private Optional<AcceptedBundle> accepted = Optional.empty();

	private String wanted = "";

	private String failing = "";

	private boolean fetching;

	private long retryAt;

	private long retryNanos = FIRST_RETRY_NANOS;

	BundleIntake(AgentIdentity self, OperatorKeys operators, Invariants invariants) {
		this.self = self;
		this.operators = operators;
		this.invariants = invariants;
	}

	Optional<AcceptedBundle> accepted() {
		return this.accepted;
	}

	String failing() {
		return this.failing;
	}

	void advance(HeadTracker head, Turn turn) {
		if (head.generation() == 0) {
			return;
		}
		if (!head.digest().equals(this.wanted)) {
			this.wanted = head.digest();
			this.failing = "";
			this.fetching = false;
			this.retryNanos = FIRST_RETRY_NANOS;
			this.retryAt = turn.now();
		}
		if (this.accepted.filter((bundle) -> bundle.digest().equals(this.wanted)).isPresent()) {
			accept(this.accepted.get().at(head.generation()));
			return;
		}
		if (this.fetching) {
			return;
		}
		if (turn.now() < this.retryAt) {
			turn.wakeAt(this.retryAt);
			return;
		}
		this.fetching = true;
		turn.add(new AgentEffect.FetchBundle(this.wanted));
	}

	void arrived(AgentEvent.BundleArrived event, HeadTracker head, Turn turn) {
		if (!event.digest().equals(this.wanted)) {
			return;
		}
		this.fetching = false;
		if (!Digests.sha256(event.content()).equals(event.digest())) {
			fail(WRONG_CONTENT, turn);
			return;
		}
		if (!this.operators.approve(event.digest(), event.signatures())) {
			fail(UNAPPROVED, turn);
			return;
		}
		try {
			AcceptedBundle next = AcceptedBundle.of(this.self, head.generation(), event.digest(), event.content(),
					event.signatures(), BundleCodec.bundle(event.content()));
			this.failing = "";
			if (!accept(next)) {
				this.retryAt = turn.now() + LAST_RETRY_NANOS;
			}
		}
		catch (CodedException ex) {
			fail(ex.code(), turn);
		}
	}

	void missing(String digest, Turn turn) {
		// Of two sources asked, one may say no after the other gave the bundle.
		if (this.fetching && digest.equals(this.wanted)) {
			this.fetching = false;
			fail(MISSING, turn);
		}
	}

	private boolean accept(AcceptedBundle bundle) {
		long last = this.accepted.map(AcceptedBundle::generation).orElse(0L);
		boolean forward = this.invariants.holds(bundle.generation() >= last, "no-revert",
				"generation " + bundle.generation() + " after " + last);
		if (forward) {
			this.accepted = Optional.of(bundle);
		}
		return forward;
	}

	private void fail(Code code, Turn turn) {
		this.failing = code.name();
		this.retryAt = turn.now() + this.retryNanos;
		this.retryNanos = Math.min(2 * this.retryNanos, LAST_RETRY_NANOS);
	}

}
