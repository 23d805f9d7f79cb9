package org.wisteriapost.agent;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import com.google.protobuf.ByteString;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.agent.AgentEvent;
import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.http.HttpExchange;
import org.wisteriapost.protocol.http.HttpListener;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.CallData;
import org.wisteriapost.protocol.wire.CallEnd;
import org.wisteriapost.protocol.wire.CallStarted;
import org.wisteriapost.protocol.wire.Header;
import org.wisteriapost.protocol.wire.Outcome;

/**
 * One call at the runner; passes the answer on piece by piece.
 */
final class RunnerCall implements HttpListener {

	private static final Code NOT_REACHED = Code.warning("runner-not-reached",
			"No connection to the runner could be made; not a byte of the call was sent.");

	private static final Code REFUSED = Code.refusal("runner-refused",
			"The runner itself said that it did not run the call.");

	private static final Code CUT = Code.warning("runner-cut", "The runner's answer ended before it was whole.");

	private static final Code TIMEOUT = Code.warning("runner-timeout",
			"The runner's answer was not whole when the caller's deadline passed.");

	/**
	 * The call ran, so it is not "not run". But not a byte of the answer went out, so an
	 * entry may send an idempotent call to another runner on this code.
	 */
	private static final Code WITHHELD = Code.error("answer-withheld",
			"The runner answered from other weights than the call asked for; the answer was withheld.");

	private static final int UNAVAILABLE = 503;

	private static final int FIRST_ERROR = 400;

	private static final String NOT_RUN = "not-run";

	// Hop by hop; the entry sets its own towards the caller.
	private static final Set<String> NOT_PASSED = Set.of("connection", "keep-alive", "transfer-encoding", "trailer",
			"upgrade", "te");

	private final long key;

	private final Link link;

	private final Call call;

	private final long deadlineNanos;

	private final RunnerCalls owner;

	private final AtomicBoolean ended = new AtomicBoolean();

	private volatile HttpExchange exchange;

	private volatile boolean paused;

	private volatile Optional<CallEnd> verdict = Optional.empty();

	RunnerCall(long key, Link link, Call call, long deadlineNanos, RunnerCalls owner) {
		this.key = key;
		this.link = link;
		this.call = call;
		this.deadlineNanos = deadlineNanos;
		this.owner = owner;
	}

	Link link() {
		return this.link;
	}

	Call call() {
		return this.call;
	}

	long deadlineNanos() {
		return this.deadlineNanos;
	}

	void started(HttpExchange running) {
		this.exchange = running;
		if (this.verdict.isPresent()) {
			running.cancel();
		}
		else if (this.paused && !this.link.writable()) {
			running.pause();
		}
	}

	/**
	 * Returns whether there was anything to cancel at the runner.
	 */
	boolean cancel() {
		HttpExchange running = this.exchange;
		if (running == null) {
			return false;
		}
		running.cancel();
		return true;
	}

	void resume() {
		HttpExchange running = this.exchange;
		if (this.paused && running != null) {
			this.paused = false;
			running.resume();
		}
	}

	@Override
	public void onHead(int status, Map<String, String> headers) {
		this.owner.loop().post(new AgentEvent.ResponseStarted(this.key));
		if (status == UNAVAILABLE && NOT_RUN.equals(headers.get(lower(CallerHeaders.OUTCOME)))) {
			this.verdict = Optional.of(verdict(Outcome.NOT_RUN, REFUSED.name(), retryAfter(headers)));
			return;
		}
		String weights = headers.getOrDefault(lower(CallerHeaders.WEIGHTS), "");
		if (foreign(status, weights)) {
			// The caller would read tokens of a model that the bundle does not name. The
			// check stands before the first byte goes out, so nothing has to be taken
			// back.
			this.verdict = Optional.of(verdict(Outcome.UNKNOWN, WITHHELD.name(), 0));
			this.owner.loop().post(new AgentEvent.WrongWeightsDetected());
			cancel();
			return;
		}
		CallStarted.Builder started = CallStarted.newBuilder()
			.setId(this.call.getId())
			.setStatus(status)
			.setWeightsDigest(this.call.getWeightsDigest());
		headers.forEach((name, value) -> {
			if (!NOT_PASSED.contains(name)) {
				started.addHeaders(Header.newBuilder().setName(name).setValue(value));
			}
		});
		this.link.send(this.owner.links().frame().setCallStarted(started).build());
	}

	@Override
	public void onData(byte[] data) {
		if (this.verdict.isPresent()) {
			return;
		}
		this.link.send(this.owner.links()
			.frame()
			.setCallData(CallData.newBuilder().setId(this.call.getId()).setData(ByteString.copyFrom(data)))
			.build());
		if (!this.link.writable()) {
			pause();
		}
	}

	@Override
	public void onEnd() {
		finish(this.verdict.orElseGet(() -> verdict(Outcome.RAN, "", 0)));
	}

	@Override
	public void onFailure(boolean sent, Throwable cause) {
		if (this.verdict.isPresent()) {
			finish(this.verdict.get());
			return;
		}
		if (!sent) {
			this.owner.loop().post(new AgentEvent.RunnerUnreachable());
			finish(verdict(Outcome.NOT_RUN, NOT_REACHED.name(), 0));
			return;
		}
		Code code = (cause instanceof TimeoutException) ? TIMEOUT : CUT;
		finish(verdict(Outcome.UNKNOWN, code.name(), 0));
	}

	/**
	 * Ends a call that never reached the runner.
	 */
	void end(Outcome outcome, String code, long retryAfterMillis) {
		send(verdict(outcome, code, retryAfterMillis));
	}

	private void finish(CallEnd end) {
		this.owner.forget(this.key);
		send(end);
		this.owner.loop().post(new AgentEvent.CallEnded(this.key));
	}

	private void send(CallEnd end) {
		if (this.ended.compareAndSet(false, true)) {
			this.owner.metrics().ended(end);
			this.link.send(this.owner.links().frame().setCallEnd(end).build());
		}
	}

	private CallEnd verdict(Outcome outcome, String code, long retryAfterMillis) {
		return CallEnd.newBuilder()
			.setId(this.call.getId())
			.setOutcome(outcome)
			.setCode(code)
			.setRetryAfterMillis((int) Math.clamp(retryAfterMillis, 0, Integer.MAX_VALUE))
			.build();
	}

	/**
	 * Returns whether an answer is not from the weights that the call asked for. An error
	 * without the header was not computed from any.
	 */
	private boolean foreign(int status, String weights) {
		if (this.call.getWeightsDigest().isEmpty() || (status >= FIRST_ERROR && weights.isEmpty())) {
			return false;
		}
		return !weights.equals(this.call.getWeightsDigest());
	}

	/**
	 * Stops reading while the link is full, so that one slow entry fills neither this
	 * process's heap nor the other calls' time.
	 */
	private void pause() {
		HttpExchange running = this.exchange;
		this.paused = true;
		if (running == null) {
			return;
		}
		running.pause();
		// The link may have drained between the look at it and the pause; its one signal
		// is then gone, and the answer would stand still for good.
		if (this.link.writable()) {
			resume();
		}
	}

	private static long retryAfter(Map<String, String> headers) {
		try {
			return Long.parseLong(headers.getOrDefault(lower(CallerHeaders.RETRY_AFTER_MILLIS), "0"));
		}
		catch (NumberFormatException ex) {
			return 0;
		}
	}

	private static String lower(String header) {
		return header.toLowerCase(java.util.Locale.ROOT);
	}

}
