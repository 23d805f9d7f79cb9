package org.wisteriapost.entry.direct;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import org.wisteriapost.policy.dispatch.DispatchOutcome;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.protocol.http.BufferQuota;
import org.wisteriapost.protocol.http.EventBoundary;
import org.wisteriapost.protocol.http.HttpExchange;
import org.wisteriapost.protocol.http.HttpResponseListener;
import org.wisteriapost.protocol.site.CallProtocol;
import org.wisteriapost.protocol.site.RunnerResponseFields;

/**
 * Forwards a runner's response to the caller. Runs on the I/O thread.
 *
 * A plain response is buffered until it is complete, so that the request can be retried
 * on another runner if the response breaks off. The complete events of a stream are
 * forwarded as they arrive.
 */
final class ResponseForwarder implements HttpResponseListener {

	private static final int SUCCESS = 200;

	private static final int CLIENT_ERROR = 400;

	private static final int SERVER_ERROR = 500;

	private static final int MAX_BUFFERED_BYTES = 16 << 20;

	// An event has the text of a few tokens.
	private static final int MAX_EVENT_BYTES = 1 << 20;

	private final DirectCall call;

	private final int dispatch;

	private final RunnerInfo runner;

	private final CallProtocol dialect;

	private final Consumer<DirectEvent> events;

	private final EventSplitter splitter = new EventSplitter();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final BufferQuota.Share buffered;

	private Optional<HttpExchange> exchange = Optional.empty();

	private int status;

	private List<Map.Entry<String, String>> headers = List.of();

	private OptionalInt weightsVersion = OptionalInt.empty();

	private boolean streaming;

	private boolean finished;

	private boolean firstEventReported;

	/**
	 * Creates the forwarder of one dispatch.
	 * @param runner the runner that it is sent to
	 */
	ResponseForwarder(DirectCall call, int dispatch, RunnerInfo runner, CallProtocol dialect,
			Consumer<DirectEvent> events, BufferQuota quota) {
		this.call = call;
		this.dispatch = dispatch;
		this.runner = runner;
		this.dialect = dialect;
		this.events = events;
		this.buffered = quota.open(() -> breakOff("answers take too much memory"));
	}

	void exchangeStarted(HttpExchange started) {
		this.exchange = Optional.of(started);
	}

	/**
	 * Closes the connection to the runner; nothing more is forwarded or reported.
	 */
	void cancel() {
		this.finished = true;
		this.buffered.close();
		this.exchange.ifPresent(HttpExchange::cancel);
	}

	@Override
	public void onConnected() {
		if (!this.finished) {
			this.events.accept(new DirectEvent.RunnerConnected(this.call, this.dispatch));
		}
	}

	@Override
	public void onHead(int code, Map<String, String> first) {
		throw new IllegalStateException("only the variant with all headers is expected");
	}

	@Override
	public void onHead(int code, Map<String, String> first, List<Map.Entry<String, String>> all) {
		if (this.finished) {
			return;
		}
		RunnerResponseFields reply = this.dialect.parseResponse(code, first);
		// On a reused connection a surplus response to an earlier request can arrive
		// first. No other dispatch of this attempt has used the connection.
		if (reply.attemptId().isEmpty() || !reply.attemptId().get().equals(this.call.job().attemptId())) {
			breakOff("answer of another attempt: " + reply.attemptId().orElse("none") + " status " + code);
			return;
		}
		this.status = code;
		if (!reply.otherIncarnation()) {
			reportStatements(code, reply);
		}
		if (reply.otherIncarnation() || reply.notRun()) {
			end(reply.otherIncarnation() ? DispatchOutcome.MISDIRECTED : DispatchOutcome.FULL, "status " + code);
			this.exchange.ifPresent(HttpExchange::discardRest);
			return;
		}
		this.headers = endToEndHeaders(all);
		this.streaming = code == SUCCESS && EventBoundary.isEventStream(first);
		this.weightsVersion = reply.weightsVersion();
		if (this.call.headSent() && !this.streaming) {
			// A stream that was begun cannot be continued by a plain response.
			breakOff("no stream on resuming: status " + code);
		}
	}

	// Before the outcome, so that the request is not retried there.
	private void reportStatements(int code, RunnerResponseFields reply) {
		if (reply.leaving()) {
			this.events.accept(new DirectEvent.RunnerLeaving(this.runner));
		}
		reply.coldStart()
			.ifPresent((remaining) -> this.events.accept(new DirectEvent.RunnerCold(this.runner, remaining)));
		reply.rest().ifPresent((rest) -> this.events.accept(new DirectEvent.RunnerResting(this.runner, rest)));
		// A rejection or failure without a limit does not say that the limit has ended:
		// something before the runner may have answered.
		if (reply.requestsPerSecond().isPresent() || (code < CLIENT_ERROR && !reply.rateUnreadable())) {
			this.events.accept(new DirectEvent.RunnerRateStated(this.call, this.dispatch, reply.requestsPerSecond()));
		}
	}

	@Override
	public void onData(byte[] data) {
		if (this.finished) {
			return;
		}
		if (!this.streaming) {
			buffer(data);
			return;
		}
		byte[] whole = this.splitter.completeEvents(data);
		if (this.splitter.remainderBytes() > MAX_EVENT_BYTES) {
			breakOff("event over " + MAX_EVENT_BYTES + " bytes");
			return;
		}
		this.buffered.resize(this.splitter.remainderBytes());
		if (whole.length > 0 && !this.finished) {
			forward(whole);
		}
	}

	@Override
	public void onEnd() {
		if (this.finished) {
			return;
		}
		if (this.streaming) {
			endStream();
			return;
		}
		DirectCall.RunnerResponse whole = new DirectCall.RunnerResponse(this.status, this.headers,
				this.body.toByteArray());
		if (this.status >= SERVER_ERROR) {
			this.call.holdResponse(whole);
			end(DispatchOutcome.ERROR, "status " + this.status);
			return;
		}
		supersedeOthers();
		this.call.job().recordWeightsVersion(this.weightsVersion);
		this.call.markComplete();
		this.call.answer().complete(whole.status(), whole.headers(), "", whole.body());
		end(DispatchOutcome.DONE, "status " + this.status);
	}

	@Override
	public void onFailure(boolean sent, Throwable cause) {
		if (!this.finished) {
			String detail = (cause.getMessage() != null) ? cause.getMessage() : cause.getClass().getSimpleName();
			end(sent ? outcomeAfterSending(cause) : DispatchOutcome.NOT_SENT, detail);
		}
	}

	// A timeout says nothing of the runner's process, which may be slow or out of reach.
	private static DispatchOutcome outcomeAfterSending(Throwable cause) {
		return (cause instanceof TimeoutException) ? DispatchOutcome.BROKEN : DispatchOutcome.DISCONNECTED;
	}

	private void buffer(byte[] data) {
		if (this.body.size() + data.length > MAX_BUFFERED_BYTES) {
			breakOff("answer over " + MAX_BUFFERED_BYTES + " bytes");
			return;
		}
		this.body.writeBytes(data);
		this.buffered.resize(this.body.size());
	}

	private void forward(byte[] whole) {
		startResponse();
		this.call.job().recordEvents(this.splitter.eventCount(), this.splitter.lastEventId(), System.nanoTime());
		if (!this.call.answer().write(whole)) {
			breakOff("the caller does not read");
			return;
		}
		if (!this.firstEventReported) {
			this.firstEventReported = true;
			this.events.accept(new DirectEvent.FirstEventForwarded(this.call, this.dispatch));
		}
	}

	private void endStream() {
		if (this.splitter.withinEvent()) {
			end(DispatchOutcome.DISCONNECTED, "the stream ended within an event");
			return;
		}
		startResponse();
		this.call.markComplete();
		this.call.answer().end();
		end(DispatchOutcome.DONE, "status " + this.status);
	}

	// Called before anything is written, and again for each output: another dispatch may
	// have been sent since.
	private void supersedeOthers() {
		this.call.cancelOthers(this.dispatch)
			.forEach(
					(other) -> this.events.accept(new DirectEvent.DispatchSuperseded(this.call, other, this.dispatch)));
	}

	private void startResponse() {
		supersedeOthers();
		if (!this.call.headSent()) {
			this.call.job().recordWeightsVersion(this.weightsVersion);
			this.call.markHeadSent();
			this.call.answer().start(this.status, this.headers, "");
		}
	}

	private void breakOff(String detail) {
		end(DispatchOutcome.BROKEN, detail);
		cancel();
	}

	private void end(DispatchOutcome outcome, String detail) {
		this.finished = true;
		this.buffered.close();
		this.call.removeForwarder(this.dispatch);
		this.events.accept(new DirectEvent.DispatchEnded(this.call, this.dispatch, outcome, detail,
				this.exchange.flatMap(HttpExchange::connectionUse)));
	}

	private static List<Map.Entry<String, String>> endToEndHeaders(List<Map.Entry<String, String>> all) {
		List<String> connection = all.stream()
			.filter((header) -> header.getKey().equalsIgnoreCase("connection"))
			.map(Map.Entry::getValue)
			.toList();
		List<String> connectionOptions = HopByHopHeaders.connectionOptions(connection);
		List<Map.Entry<String, String>> kept = new ArrayList<>();
		all.forEach((header) -> {
			if (IncomingRequest.isEndToEnd(header.getKey().toLowerCase(Locale.ROOT), connectionOptions)) {
				kept.add(header);
			}
		});
		return kept;
	}

}
