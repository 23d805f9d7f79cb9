package org.wisteriapost.agent;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import com.google.protobuf.ByteString;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.agent.AgentEvent;
import org.wisteriapost.policy.request.GateCodes;
import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.http.EventBoundary;
import org.wisteriapost.protocol.http.HttpExchange;
import org.wisteriapost.protocol.http.HttpResponseListener;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.CallData;
import org.wisteriapost.protocol.wire.CallEnd;
import org.wisteriapost.protocol.wire.CallStarted;
import org.wisteriapost.protocol.wire.Header;
import org.wisteriapost.protocol.wire.Outcome;

/**
 * A call at the runner, whose response is streamed to the entry.
 */
final class RunnerCall implements HttpResponseListener {

	private static final Code NOT_REACHED = Code.warning("runner-not-reached",
			"No connection to the runner could be made; not a byte of the call was sent.");

	private static final Code CUT = Code.warning("runner-cut", "The runner's answer ended before it was whole.");

	private static final Code TIMEOUT = Code.warning("runner-timeout",
			"The runner's answer was not whole when the caller's deadline passed.");

	/**
	 * The call ran, so its outcome is not {@code NOT_RUN}. No byte of the response was
	 * sent, so on this code an entry may retry an idempotent call at another runner.
	 */
	private static final Code WITHHELD = Code.error("answer-withheld",
			"The runner answered from other weights than the call asked for; the answer was withheld.");

	private static final int OK = 200;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int MIN_ERROR_STATUS = 400;

	private static final String NOT_RUN = "not-run";

	// The entry sets its own towards the caller.
	private static final Set<String> HOP_BY_HOP_HEADERS = Set.of("connection", "keep-alive", "transfer-encoding",
			"trailer", "upgrade", "te");

	private final long key;

	private final Link link;

	private final Call call;

	private final long deadlineNanos;

	private final RunnerCalls runnerCalls;

	private final AtomicBoolean ended = new AtomicBoolean();

	private volatile HttpExchange exchange;

	private volatile boolean paused;

	private volatile Optional<CallEnd> decidedEnd = Optional.empty();

	// Only of a stream of events.
	private Optional<EventBoundary> eventBoundary = Optional.empty();

	RunnerCall(long key, Link link, Call call, long deadlineNanos, RunnerCalls runnerCalls) {
		this.key = key;
		this.link = link;
		this.call = call;
		this.deadlineNanos = deadlineNanos;
		this.runnerCalls = runnerCalls;
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

	void exchangeStarted(HttpExchange running) {
		this.exchange = running;
		if (this.decidedEnd.isPresent()) {
			running.cancel();
		}
		else if (this.paused && !this.link.writable()) {
			running.pause();
		}
	}

	/**
	 * Cancels the call at the runner and returns whether it had been started there.
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
		this.runnerCalls.loop().post(new AgentEvent.ResponseStarted(this.key));
		if (status == SERVICE_UNAVAILABLE && NOT_RUN.equals(headers.get(lowerCase(CallerHeaders.OUTCOME)))) {
			this.decidedEnd = Optional
				.of(callEnd(Outcome.NOT_RUN, GateCodes.RUNNER_REFUSED.name(), retryAfter(headers)));
			Optional.ofNullable(this.exchange).ifPresent(HttpExchange::discardRest);
			return;
		}
		String weights = headers.getOrDefault(lowerCase(CallerHeaders.WEIGHTS), "");
		if (isFromOtherWeights(status, weights)) {
			// Checked before the first byte is sent, so that the caller never reads
			// tokens of a model other than the one in the bundle.
			this.decidedEnd = Optional.of(callEnd(Outcome.UNKNOWN, WITHHELD.name(), 0));
			this.runnerCalls.loop().post(new AgentEvent.WrongWeightsDetected());
			cancel();
			return;
		}
		if (status == OK && EventBoundary.isEventStream(headers)) {
			this.eventBoundary = Optional.of(new EventBoundary());
		}
		CallStarted.Builder started = CallStarted.newBuilder()
			.setId(this.call.getId())
			.setStatus(status)
			.setWeightsDigest(this.call.getWeightsDigest());
		headers.forEach((name, value) -> {
			if (!HOP_BY_HOP_HEADERS.contains(name)) {
				started.addHeaders(Header.newBuilder().setName(name).setValue(value));
			}
		});
		this.link.send(this.runnerCalls.agentLinks().newFrame().setCallStarted(started).build());
	}

	@Override
	public void onData(byte[] data) {
		if (this.decidedEnd.isPresent()) {
			return;
		}
		this.eventBoundary.ifPresent((boundary) -> boundary.read(data));
		this.link.send(this.runnerCalls.agentLinks()
			.newFrame()
			.setCallData(CallData.newBuilder().setId(this.call.getId()).setData(ByteString.copyFrom(data)))
			.build());
		if (!this.link.writable()) {
			pause();
		}
	}

	@Override
	public void onEnd() {
		boolean cut = this.eventBoundary.filter(EventBoundary::withinEvent).isPresent();
		finish(this.decidedEnd
			.orElseGet(() -> cut ? callEnd(Outcome.UNKNOWN, CUT.name(), 0) : callEnd(Outcome.RAN, "", 0)));
	}

	@Override
	public void onFailure(boolean sent, Throwable cause) {
		if (this.decidedEnd.isPresent()) {
			finish(this.decidedEnd.get());
			return;
		}
		if (!sent) {
			this.runnerCalls.loop().post(new AgentEvent.RunnerUnreachable());
			finish(callEnd(Outcome.NOT_RUN, NOT_REACHED.name(), 0));
			return;
		}
		Code code = (cause instanceof TimeoutException) ? TIMEOUT : CUT;
		finish(callEnd(Outcome.UNKNOWN, code.name(), 0));
	}

	/**
	 * Ends a call that was not sent to the runner.
	 */
	void end(Outcome outcome, String code, long retryAfterMillis) {
		send(callEnd(outcome, code, retryAfterMillis));
	}

	private void finish(CallEnd end) {
		this.runnerCalls.remove(this.key);
		send(end);
		this.runnerCalls.loop().post(new AgentEvent.CallEnded(this.key));
	}

	private void send(CallEnd end) {
		if (this.ended.compareAndSet(false, true)) {
			this.runnerCalls.metrics().callEnded(end);
			this.link.send(this.runnerCalls.agentLinks().newFrame().setCallEnd(end).build());
		}
	}

	private CallEnd callEnd(Outcome outcome, String code, long retryAfterMillis) {
		return CallEnd.newBuilder()
			.setId(this.call.getId())
			.setOutcome(outcome)
			.setCode(code)
			.setRetryAfterMillis((int) Math.clamp(retryAfterMillis, 0, Integer.MAX_VALUE))
			.build();
	}

	/**
	 * Returns whether a response was computed from weights other than the requested ones.
	 * Errors without the weights header were not computed from weights.
	 */
	private boolean isFromOtherWeights(int status, String weights) {
		if (this.call.getWeightsDigest().isEmpty() || (status >= MIN_ERROR_STATUS && weights.isEmpty())) {
			return false;
		}
		return !weights.equals(this.call.getWeightsDigest());
	}

	/**
	 * Stops reading the response while the link is not writable, so that a slow entry
	 * neither fills this process's heap nor delays other calls.
	 */
	private void pause() {
		HttpExchange running = this.exchange;
		this.paused = true;
		if (running == null) {
			return;
		}
		running.pause();
		// The link may have become writable before the pause. Its only notification was
		// then missed, and the response would never resume.
		if (this.link.writable()) {
			resume();
		}
	}

	private static long retryAfter(Map<String, String> headers) {
		try {
			return Long.parseLong(headers.getOrDefault(lowerCase(CallerHeaders.RETRY_AFTER_MILLIS), "0"));
		}
		catch (NumberFormatException ex) {
			return 0;
		}
	}

	private static String lowerCase(String header) {
		return header.toLowerCase(java.util.Locale.ROOT);
	}

}
