package org.wisteriapost.policy.agent;

import java.util.Optional;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;

/**
 * Fetches the head's bundle and accepts it only if its content digest and approvals are
 * valid. A rejected bundle changes nothing: the previously accepted bundle stays active.
 */
final class BundleAcceptor {

	private static final Code WRONG_CONTENT = Code.error("bundle-content-mismatch",
			"The bytes given as a bundle do not have the digest that the head names.");

	private static final Code UNAPPROVED = Code.error("bundle-unapproved",
			"The head names a bundle without enough valid approvals of configured operators.");

	private static final Code UNAVAILABLE = Code.warning("bundle-unavailable",
			"Neither an entry nor the platform gave the head's bundle.");

	// A source may not have the approvals or the content yet, and a change must take
	// effect within eight seconds, so the first retry is early. The backoff limits a
	// bundle that stays invalid to one fetch every 30 seconds.
	private static final long MIN_RETRY_DELAY_NANOS = 500_000_000L;

	private static final long MAX_RETRY_DELAY_NANOS = 30_000_000_000L;

	private final AgentIdentity identity;

	private final ApprovalPolicy approvalPolicy;

	private final Invariants invariants;

	private Optional<AcceptedBundle> accepted = Optional.empty();

	private String targetDigest = "";

	private String failureCode = "";

	private boolean fetchInFlight;

	private long nextFetchNanos;

	private long retryDelayNanos = MIN_RETRY_DELAY_NANOS;

	BundleAcceptor(AgentIdentity identity, ApprovalPolicy approvalPolicy, Invariants invariants) {
		this.identity = identity;
		this.approvalPolicy = approvalPolicy;
		this.invariants = invariants;
	}

	Optional<AcceptedBundle> accepted() {
		return this.accepted;
	}

	String failureCode() {
		return this.failureCode;
	}

	void advance(HeadTracker head, EventContext context) {
		if (head.generation() == 0) {
			return;
		}
		if (!head.digest().equals(this.targetDigest)) {
			this.targetDigest = head.digest();
			this.failureCode = "";
			this.fetchInFlight = false;
			this.retryDelayNanos = MIN_RETRY_DELAY_NANOS;
			this.nextFetchNanos = context.now();
		}
		if (this.accepted.filter((bundle) -> bundle.digest().equals(this.targetDigest)).isPresent()) {
			accept(this.accepted.get().withGeneration(head.generation()));
			return;
		}
		if (this.fetchInFlight) {
			return;
		}
		if (context.now() < this.nextFetchNanos) {
			context.wakeAt(this.nextFetchNanos);
			return;
		}
		this.fetchInFlight = true;
		context.add(new AgentEffect.FetchBundle(this.targetDigest));
	}

	void received(AgentEvent.BundleReceived event, HeadTracker head, EventContext context) {
		if (!event.digest().equals(this.targetDigest)) {
			return;
		}
		this.fetchInFlight = false;
		if (!Digests.sha256(event.content()).equals(event.digest())) {
			fail(WRONG_CONTENT, context);
			return;
		}
		if (!this.approvalPolicy.isApproved(event.digest(), event.signatures())) {
			fail(UNAPPROVED, context);
			return;
		}
		try {
			AcceptedBundle next = AcceptedBundle.of(this.identity, head.generation(), event.digest(), event.content(),
					event.signatures(), BundleCodec.bundle(event.content()));
			this.failureCode = "";
			if (!accept(next)) {
				this.nextFetchNanos = context.now() + MAX_RETRY_DELAY_NANOS;
			}
		}
		catch (CodedException ex) {
			fail(ex.code(), context);
		}
	}

	void unavailable(String digest, EventContext context) {
		// One of the two sources may report the bundle missing after the other provided
		// it.
		if (this.fetchInFlight && digest.equals(this.targetDigest)) {
			this.fetchInFlight = false;
			fail(UNAVAILABLE, context);
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

	private void fail(Code code, EventContext context) {
		this.failureCode = code.name();
		this.nextFetchNanos = context.now() + this.retryDelayNanos;
		this.retryDelayNanos = Math.min(2 * this.retryDelayNanos, MAX_RETRY_DELAY_NANOS);
	}

}
