package org.wisteriapost.entry.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.LongSupplier;

import org.wisteriapost.entry.caller.CallerCall;
import org.wisteriapost.entry.caller.IdempotencyKey;
import org.wisteriapost.entry.caller.Outcome;
import org.wisteriapost.entry.caller.Refusal;
import org.wisteriapost.entry.claim.ClaimReply;
import org.wisteriapost.entry.claim.ClaimStore;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.claim.ClaimEffect;
import org.wisteriapost.policy.claim.ClaimKey;
import org.wisteriapost.policy.claim.ClaimRecord.State;
import org.wisteriapost.policy.claim.ClaimRecord.StoredAnswer;
import org.wisteriapost.policy.claim.ClaimResult;
import org.wisteriapost.policy.claim.ClaimTable;
import org.wisteriapost.policy.request.RequestEvent;

/**
 * Claims a call's idempotency key before the call is sent, answers repeats from the
 * stored record, and stores the outcome of each call. Used only by the event loop's
 * thread.
 */
final class ClaimCoordinator implements IdempotencyClaims {

	static final Code KEY_TOO_OLD = Code.error("idempotency-key-too-old",
			"An idempotency key is older than keys are kept; its call may have run.");

	static final Code KEY_AHEAD = Code.error("idempotency-key-ahead",
			"An idempotency key was made later than the entry's clock allows.");

	static final Code KEY_REUSED = Code.error("idempotency-key-reused",
			"An idempotency key was used before for another call.");

	static final Code CALL_UNRESOLVED = Code.warning("call-unresolved",
			"The first call with this idempotency key has no whole answer; it may run or have run.");

	static final Code ANSWER_NOT_KEPT = Code.warning("answer-not-kept",
			"The first call with this idempotency key ran, but its answer was too large to keep.");

	static final Code CLAIMS_UNAVAILABLE = Code.refusal("claims-unavailable",
			"The platform does not answer, so that no idempotency key can be claimed.");

	static final Code CLAIMS_FULL = Code.refusal("claims-full",
			"More idempotency keys of one moment are in use than can be kept.");

	// Several times the size of a typical confirmation. All keys issued within some
	// seconds share one platform object of at most 1 MiB, which larger answers would
	// fill.
	private static final int MAX_STORED_ANSWER_BYTES = 8 * 1024;

	private static final int CONFLICT = 409;

	private static final int UNPROCESSABLE = 422;

	private static final int BAD_REQUEST = 400;

	private static final long UNRESOLVED_RETRY_MILLIS = 1000;

	private static final long UNAVAILABLE_RETRY_MILLIS = 2000;

	private static final long FULL_RETRY_MILLIS = 10_000;

	private final ClaimTable table;

	private final ClaimStore store;

	private final LongSupplier clock;

	private final LongSupplier wallMillis;

	private final Map<Long, PendingClaim> pendingClaims = new HashMap<>();

	private ActiveRequests requests;

	private volatile int pendingOperations;

	ClaimCoordinator(ClaimTable table, ClaimStore store, LongSupplier clock, LongSupplier wallMillis) {
		this.table = table;
		this.store = store;
		this.clock = clock;
		this.wallMillis = wallMillis;
	}

	/**
	 * Sets the requests that receive the results of claims.
	 */
	void attach(ActiveRequests active) {
		this.requests = active;
	}

	/**
	 * Returns how many changes were not yet written to the platform at the last tick. May
	 * be called from any thread.
	 */
	int pendingOperations() {
		return this.pendingOperations;
	}

	void tick() {
		execute(this.table.tick(this.clock.getAsLong()));
		this.pendingOperations = this.table.pendingOperations();
	}

	/**
	 * Applies a reply of the platform.
	 */
	void onReply(ClaimReply reply) {
		long now = this.clock.getAsLong();
		execute(switch (reply) {
			case ClaimReply.Found found ->
				this.table.onRead(found.object(), found.value(), found.version(), found.conflict(), now);
			case ClaimReply.Written written -> this.table.onWritten(written.object(), written.version(), now);
			case ClaimReply.Failed failed -> this.table.onFailure(failed.object(), failed.unconfirmed(), now);
		});
	}

	@Override
	public void claim(CallerCall call) {
		IdempotencyKey key = call.key().orElseThrow();
		Optional<ClaimKey.Rejection> rejection = ClaimKey.validate(key.issuedMillis(), this.wallMillis.getAsLong());
		if (rejection.isPresent()) {
			refuseCall(call, switch (rejection.get()) {
				// The outcome is unknown, not "not-run": the first call with this key may
				// have run, and after "not-run" a caller would repeat it with a new key.
				case EXPIRED -> Refusal.outcomeUnknown(CONFLICT, KEY_TOO_OLD.name(), KEY_TOO_OLD.summary());
				case ISSUED_IN_FUTURE -> Refusal.invalidRequest(BAD_REQUEST, KEY_AHEAD.name(), KEY_AHEAD.summary());
			});
			return;
		}
		PendingClaim pending = new PendingClaim(call,
				ClaimKey.of(call.request().organisation(), key.text(), key.issuedMillis()),
				UUID.randomUUID().toString());
		this.pendingClaims.put(call.id(), pending);
		execute(this.table.claim(call.id(), pending.key, callHash(call), pending.nonce, this.clock.getAsLong()));
	}

	@Override
	public void ran(CallerCall call, int status, List<Map.Entry<String, String>> headers, byte[] body) {
		if (body.length > MAX_STORED_ANSWER_BYTES) {
			ranAnswerNotStored(call);
			return;
		}
		List<String> flat = new ArrayList<>();
		headers.forEach((header) -> {
			flat.add(header.getKey());
			flat.add(header.getValue());
		});
		settle(call, State.ANSWERED, new StoredAnswer(status, flat, body));
	}

	@Override
	public void ranAnswerNotStored(CallerCall call) {
		settle(call, State.RAN, StoredAnswer.NONE);
	}

	@Override
	public void notRun(CallerCall call) {
		PendingClaim pending = this.pendingClaims.remove(call.id());
		if (pending != null) {
			execute(this.table.release(pending.key, pending.nonce, this.clock.getAsLong()));
		}
	}

	@Override
	public void unknown(CallerCall call) {
		settle(call, State.UNKNOWN, StoredAnswer.NONE);
	}

	private void settle(CallerCall call, State state, StoredAnswer answer) {
		PendingClaim pending = this.pendingClaims.remove(call.id());
		if (pending != null) {
			execute(this.table.settle(pending.key, pending.nonce, state, answer, this.clock.getAsLong()));
		}
	}

	private void execute(List<ClaimEffect> effects) {
		for (ClaimEffect effect : effects) {
			switch (effect) {
				case ClaimEffect.Read read -> this.store.read(read);
				case ClaimEffect.Write write -> this.store.write(write);
				case ClaimEffect.Complete tell -> onResult(tell.result());
			}
		}
	}

	private void onResult(ClaimResult result) {
		PendingClaim pending = this.pendingClaims.get(result.id());
		// The call ended while its key was being claimed; the table releases the key once
		// the claim is done.
		if (pending == null) {
			return;
		}
		switch (result) {
			case ClaimResult.Claimed claimed -> this.requests.decide(new RequestEvent.Claimed(claimed.id()));
			case ClaimResult.AlreadyClaimed repeated -> answerRepeat(pending, repeated);
			case ClaimResult.Expired expired ->
				refuse(pending, Refusal.outcomeUnknown(CONFLICT, KEY_TOO_OLD.name(), KEY_TOO_OLD.summary()));
			case ClaimResult.Failed failed -> refuse(pending,
					failed.pageFull() ? Refusal.temporary(CLAIMS_FULL.name(), CLAIMS_FULL.summary(), FULL_RETRY_MILLIS)
							: Refusal.temporary(CLAIMS_UNAVAILABLE.name(), CLAIMS_UNAVAILABLE.summary(),
									UNAVAILABLE_RETRY_MILLIS));
		}
	}

	private void refuse(PendingClaim pending, Refusal refusal) {
		this.pendingClaims.remove(pending.call.id());
		refuseCall(pending.call, refusal);
	}

	private void refuseCall(CallerCall call, Refusal refusal) {
		call.answer().refuse(refusal);
		this.requests.answeredFromClaim(call.id(), refusal.outcome(), refusal.code());
	}

	private void answerRepeat(PendingClaim pending, ClaimResult.AlreadyClaimed repeated) {
		if (!repeated.sameCall()) {
			refuse(pending, Refusal.invalidRequest(UNPROCESSABLE, KEY_REUSED.name(), KEY_REUSED.summary()));
			return;
		}
		switch (repeated.first().state()) {
			case CLAIMED ->
				refuse(pending, Refusal.outcomeUnknown(CONFLICT, CALL_UNRESOLVED.name(), CALL_UNRESOLVED.summary())
					.withRetryAfter(UNRESOLVED_RETRY_MILLIS));
			case UNKNOWN ->
				refuse(pending, Refusal.outcomeUnknown(CONFLICT, CALL_UNRESOLVED.name(), CALL_UNRESOLVED.summary()));
			case RAN ->
				refuse(pending, Refusal.outcomeUnknown(CONFLICT, ANSWER_NOT_KEPT.name(), ANSWER_NOT_KEPT.summary()));
			case ANSWERED -> replay(pending, repeated.first().answer());
		}
	}

	private void replay(PendingClaim pending, StoredAnswer kept) {
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		List<String> flat = kept.headers();
		for (int i = 0; i + 1 < flat.size(); i += 2) {
			headers.add(Map.entry(flat.get(i), flat.get(i + 1)));
		}
		this.pendingClaims.remove(pending.call.id());
		pending.call.answer().complete(kept.status(), headers, "", kept.body());
		this.requests.answeredFromClaim(pending.call.id(), Outcome.RAN, "");
	}

	private static String callHash(CallerCall call) {
		String head = call.request().service() + "\n" + call.method() + "\n" + call.path() + "\n"
				+ Digests.sha256(call.body());
		return Digests.sha256(head.getBytes(StandardCharsets.UTF_8)).substring(0, 32);
	}

	private record PendingClaim(CallerCall call, ClaimKey key, String nonce) {
	}

}
