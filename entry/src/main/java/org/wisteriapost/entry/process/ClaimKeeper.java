package org.wisteriapost.entry.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.LongSupplier;

import org.wisteriapost.entry.caller.CallKey;
import org.wisteriapost.entry.caller.CallerCall;
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
 * Has a call's key claimed before the call is sent, answers repeats from what is kept,
 * and has written down what became of each call. Used by the event loop's thread alone.
 */
final class ClaimKeeper implements ClaimDesk {

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

	// What a registrar's or a booking desk's confirmation takes, several times over. All
	// keys of some seconds share a value of at most a megabyte.
	private static final int MAX_KEPT_BYTES = 8 * 1024;

	private static final int CONFLICT = 409;

	private static final int UNPROCESSABLE = 422;

	private static final int BAD_REQUEST = 400;

	private static final long UNRESOLVED_MILLIS = 1000;

	private static final long UNAVAILABLE_MILLIS = 2000;

	private static final long FULL_MILLIS = 10_000;

	private final ClaimTable table;

	private final ClaimStore store;

	private final LongSupplier clock;

	private final LongSupplier wallMillis;

	private final Map<Long, Ticket> tickets = new HashMap<>();

	private Calls calls;

	private volatile int unwritten;

	ClaimKeeper(ClaimTable table, ClaimStore store, LongSupplier clock, LongSupplier wallMillis) {
		this.table = table;
		this.store = store;
		this.clock = clock;
		this.wallMillis = wallMillis;
	}

	/**
	 * Sets whom to tell what became of a claim.
	 */
	void tells(Calls to) {
		this.calls = to;
	}

	/**
	 * Returns how many changes were not in the platform at the last tick; from any
	 * thread.
	 */
	int unwritten() {
		return this.unwritten;
	}

	void tick() {
		carryOut(this.table.tick(this.clock.getAsLong()));
		this.unwritten = this.table.pendingOperations();
	}

	/**
	 * Takes what the platform answered.
	 */
	void reply(ClaimReply reply) {
		long now = this.clock.getAsLong();
		carryOut(switch (reply) {
			case ClaimReply.Found found ->
				this.table.onRead(found.object(), found.value(), found.version(), found.conflict(), now);
			case ClaimReply.Written written -> this.table.onWritten(written.object(), written.version(), now);
			case ClaimReply.Failed failed -> this.table.onFailure(failed.object(), failed.unconfirmed(), now);
		});
	}

	@Override
	public void claim(CallerCall call) {
		CallKey key = call.key().orElseThrow();
		Optional<ClaimKey.Rejection> fault = ClaimKey.validate(key.issuedMillis(), this.wallMillis.getAsLong());
		if (fault.isPresent()) {
			answer(call, switch (fault.get()) {
				// Not "not run": the first call with this key may have run, and a caller
				// that is told otherwise makes the same call with a new key.
				case EXPIRED -> Refusal.unknown(CONFLICT, KEY_TOO_OLD.name(), KEY_TOO_OLD.summary());
				case ISSUED_IN_FUTURE -> Refusal.bad(BAD_REQUEST, KEY_AHEAD.name(), KEY_AHEAD.summary());
			});
			return;
		}
		Ticket ticket = new Ticket(call, ClaimKey.of(call.request().organisation(), key.text(), key.issuedMillis()),
				UUID.randomUUID().toString());
		this.tickets.put(call.id(), ticket);
		carryOut(this.table.claim(call.id(), ticket.key, callHash(call), ticket.nonce, this.clock.getAsLong()));
	}

	@Override
	public void ran(CallerCall call, int status, List<Map.Entry<String, String>> headers, byte[] body) {
		if (body.length > MAX_KEPT_BYTES) {
			ranUnstored(call);
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
	public void ranUnstored(CallerCall call) {
		settle(call, State.RAN, StoredAnswer.NONE);
	}

	@Override
	public void notRun(CallerCall call) {
		Ticket ticket = this.tickets.remove(call.id());
		if (ticket != null) {
			carryOut(this.table.release(ticket.key, ticket.nonce, this.clock.getAsLong()));
		}
	}

	@Override
	public void unknown(CallerCall call) {
		settle(call, State.UNKNOWN, StoredAnswer.NONE);
	}

	private void settle(CallerCall call, State state, StoredAnswer answer) {
		Ticket ticket = this.tickets.remove(call.id());
		if (ticket != null) {
			carryOut(this.table.settle(ticket.key, ticket.nonce, state, answer, this.clock.getAsLong()));
		}
	}

	private void carryOut(List<ClaimEffect> effects) {
		for (ClaimEffect effect : effects) {
			switch (effect) {
				case ClaimEffect.Read read -> this.store.read(read);
				case ClaimEffect.Write write -> this.store.write(write);
				case ClaimEffect.Complete tell -> told(tell.result());
			}
		}
	}

	private void told(ClaimResult verdict) {
		Ticket ticket = this.tickets.get(verdict.id());
		// The call was given up while its key was being claimed; its release waits behind
		// the claim.
		if (ticket == null) {
			return;
		}
		switch (verdict) {
			case ClaimResult.Claimed claimed -> this.calls.decide(new RequestEvent.Claimed(claimed.id()));
			case ClaimResult.AlreadyClaimed repeated -> repeat(ticket, repeated);
			case ClaimResult.Expired expired ->
				lost(ticket, Refusal.unknown(CONFLICT, KEY_TOO_OLD.name(), KEY_TOO_OLD.summary()));
			case ClaimResult.Failed failed ->
				lost(ticket, failed.pageFull() ? Refusal.later(CLAIMS_FULL.name(), CLAIMS_FULL.summary(), FULL_MILLIS)
						: Refusal.later(CLAIMS_UNAVAILABLE.name(), CLAIMS_UNAVAILABLE.summary(), UNAVAILABLE_MILLIS));
		}
	}

	private void lost(Ticket ticket, Refusal refusal) {
		this.tickets.remove(ticket.call.id());
		answer(ticket.call, refusal);
	}

	private void answer(CallerCall call, Refusal refusal) {
		call.answer().refuse(refusal);
		this.calls.answeredByClaim(call.id(), refusal.outcome(), refusal.code());
	}

	private void repeat(Ticket ticket, ClaimResult.AlreadyClaimed repeated) {
		if (!repeated.sameCall()) {
			lost(ticket, Refusal.bad(UNPROCESSABLE, KEY_REUSED.name(), KEY_REUSED.summary()));
			return;
		}
		switch (repeated.first().state()) {
			case CLAIMED -> lost(ticket, Refusal.unknown(CONFLICT, CALL_UNRESOLVED.name(), CALL_UNRESOLVED.summary())
				.retryAfter(UNRESOLVED_MILLIS));
			case UNKNOWN -> lost(ticket, Refusal.unknown(CONFLICT, CALL_UNRESOLVED.name(), CALL_UNRESOLVED.summary()));
			case RAN -> lost(ticket, Refusal.unknown(CONFLICT, ANSWER_NOT_KEPT.name(), ANSWER_NOT_KEPT.summary()));
			case ANSWERED -> replay(ticket, repeated.first().answer());
		}
	}

	private void replay(Ticket ticket, StoredAnswer kept) {
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		List<String> flat = kept.headers();
		for (int i = 0; i + 1 < flat.size(); i += 2) {
			headers.add(Map.entry(flat.get(i), flat.get(i + 1)));
		}
		this.tickets.remove(ticket.call.id());
		ticket.call.answer().whole(kept.status(), headers, "", kept.body());
		this.calls.answeredByClaim(ticket.call.id(), Outcome.RAN, "");
	}

	private static String callHash(CallerCall call) {
		String head = call.request().service() + "\n" + call.method() + "\n" + call.path() + "\n"
				+ Digests.sha256(call.body());
		return Digests.sha256(head.getBytes(StandardCharsets.UTF_8)).substring(0, 32);
	}

	private record Ticket(CallerCall call, ClaimKey key, String nonce) {
	}

}
