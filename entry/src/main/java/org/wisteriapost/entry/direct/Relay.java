package org.wisteriapost.entry.direct;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

import org.wisteriapost.policy.dispatch.DispatchOutcome;
import org.wisteriapost.protocol.http.HttpExchange;
import org.wisteriapost.protocol.http.HttpListener;
import org.wisteriapost.protocol.site.CallDialect;
import org.wisteriapost.protocol.site.RunnerReply;

/**
 * Passes one runner's answer on to one caller. Runs on the I/O thread.
 *
 * A plain answer is held until it is whole, so that one that breaks off can be asked for
 * elsewhere. Of a stream, whole events go out as they come.
 */
final class Relay implements HttpListener {

	private static final int SUCCESS = 200;

	private static final int SERVER_ERROR = 500;

	private static final int MAX_HELD_BYTES = 16 << 20;

	private final DirectCall call;

	private final int dispatch;

	private final CallDialect dialect;

	private final Consumer<DirectEvent> events;

	private final EventSplitter splitter = new EventSplitter();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private HttpExchange exchange;

	private int status;

	private List<Map.Entry<String, String>> headers = List.of();

	private boolean streaming;

	private boolean over;

	private boolean saidFirst;

	Relay(DirectCall call, int dispatch, CallDialect dialect, Consumer<DirectEvent> events) {
		this.call = call;
		this.dispatch = dispatch;
		this.dialect = dialect;
		this.events = events;
	}

	void started(HttpExchange started) {
		this.exchange = started;
	}

	/**
	 * Closes the connection to the runner; nothing more is passed on or told.
	 */
	void cancel() {
		this.over = true;
		if (this.exchange != null) {
			this.exchange.cancel();
		}
	}

	@Override
	public void onConnected() {
		if (!this.over) {
			this.events.accept(new DirectEvent.Connected(this.call, this.dispatch));
		}
	}

	@Override
	public void onHead(int code, Map<String, String> first) {
		throw new IllegalStateException("all headers are asked for");
	}

	@Override
	public void onHead(int code, Map<String, String> first, List<Map.Entry<String, String>> all) {
		if (this.over) {
			return;
		}
		RunnerReply reply = this.dialect.reply(code, first);
		// An extra answer of an earlier request can stand where this one's is expected.
		if (reply.attempt().isEmpty() || !reply.attempt().get().equals(this.call.job().attemptId())) {
			end(DispatchOutcome.BROKEN,
					"answer of another attempt: " + reply.attempt().orElse("none") + " status " + code);
			cancel();
			return;
		}
		this.status = code;
		if (reply.otherInstance() || reply.notRun()) {
			end(reply.otherInstance() ? DispatchOutcome.MISDIRECTED : DispatchOutcome.FULL, "status " + code);
			return;
		}
		this.headers = handedOn(all);
		String type = first.getOrDefault("content-type", "");
		this.streaming = code == SUCCESS && type.startsWith("text/event-stream");
		if (!this.call.begun()) {
			this.call.job().recordWeightsVersion(reply.weightsVersion());
		}
		else if (!this.streaming) {
			// A stream that has begun cannot end with an answer of another shape.
			end(DispatchOutcome.BROKEN, "no stream on resuming: status " + code);
			cancel();
		}
	}

	@Override
	public void onData(byte[] data) {
		if (this.over) {
			return;
		}
		if (!this.streaming) {
			hold(data);
			return;
		}
		byte[] whole = this.splitter.whole(data);
		if (whole.length > 0) {
			pass(whole);
		}
	}

	@Override
	public void onEnd() {
		if (this.over) {
			return;
		}
		if (this.streaming) {
			endStream();
			return;
		}
		DirectCall.Held whole = new DirectCall.Held(this.status, this.headers, this.body.toByteArray());
		if (this.status >= SERVER_ERROR) {
			this.call.hold(whole);
			end(DispatchOutcome.ERROR, "status " + this.status);
			return;
		}
		this.call.completed();
		this.call.answer().whole(whole.status(), whole.headers(), "", whole.body());
		end(DispatchOutcome.DONE, "status " + this.status);
	}

	@Override
	public void onFailure(boolean sent, Throwable cause) {
		if (!this.over) {
			end(sent ? DispatchOutcome.BROKEN : DispatchOutcome.NOT_SENT, String.valueOf(cause.getMessage()));
		}
	}

	private void hold(byte[] data) {
		if (this.body.size() + data.length > MAX_HELD_BYTES) {
			end(DispatchOutcome.BROKEN, "answer over " + MAX_HELD_BYTES + " bytes");
			cancel();
			return;
		}
		this.body.writeBytes(data);
	}

	private void pass(byte[] whole) {
		begin();
		this.call.job().recordEvents(this.splitter.events(), this.splitter.lastId(), System.nanoTime());
		if (!this.call.answer().data(whole)) {
			end(DispatchOutcome.BROKEN, "the caller does not read");
			cancel();
			return;
		}
		if (!this.saidFirst) {
			this.saidFirst = true;
			this.events.accept(new DirectEvent.FirstEvent(this.call, this.dispatch));
		}
	}

	private void endStream() {
		byte[] rest = this.splitter.rest();
		if (rest.length > 0) {
			end(DispatchOutcome.BROKEN, "the stream ended within an event");
			return;
		}
		begin();
		this.call.completed();
		this.call.answer().end();
		end(DispatchOutcome.DONE, "status " + this.status);
	}

	private void begin() {
		if (!this.call.begun()) {
			this.call.begin();
			this.call.answer().start(this.status, this.headers, "");
		}
	}

	private void end(DispatchOutcome outcome, String detail) {
		this.over = true;
		this.events.accept(new DirectEvent.Ended(this.call, this.dispatch, outcome, detail));
	}

	private static List<Map.Entry<String, String>> handedOn(List<Map.Entry<String, String>> all) {
		List<String> connection = all.stream()
			.filter((header) -> header.getKey().equalsIgnoreCase("connection"))
			.map(Map.Entry::getValue)
			.toList();
		List<String> listed = HopHeaders.listed(connection);
		List<Map.Entry<String, String>> kept = new ArrayList<>();
		all.forEach((header) -> {
			if (Arrival.endToEnd(header.getKey().toLowerCase(Locale.ROOT), listed)) {
				kept.add(header);
			}
		});
		return kept;
	}

}
