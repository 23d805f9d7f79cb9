package org.wisteriapost.entry.direct;

import java.net.URI;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.wisteriapost.entry.caller.Refusal;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.dispatch.DispatchEffect;
import org.wisteriapost.policy.dispatch.DispatchOutcome;
import org.wisteriapost.policy.dispatch.Job;
import org.wisteriapost.policy.routing.Organisation;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.http.HttpTimes;
import org.wisteriapost.protocol.site.CallDialect;
import org.wisteriapost.protocol.site.OutboundCall;

/**
 * Carries out decisions on the one I/O thread, in the order in which they were made.
 */
final class DirectOutput implements CallOutput {

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	// The runner answers its own time-out; the connection is given up a little later.
	private static final Duration SLACK = Duration.ofMillis(300);

	// A runner may drop an idle connection without notice, and what is sent on it then
	// is reset: nobody knows whether it ran, so a call that may run once is lost. One
	// that was used within this time is hardly ever dropped, and opening another costs
	// a millisecond.
	private static final Duration ONCE_MOST_IDLE = Duration.ofMillis(800);

	// How long the connection may take that tries a runner's way, as a part of the time
	// that the caller expects: another runner can still answer then. Connections within a
	// site take some milliseconds, to another region some tens.
	private static final double TRY_SHARE = 0.4;

	private static final long TRY_LEAST_MILLIS = 100;

	private static final long TRY_MOST_MILLIS = 400;

	private final HttpCaller caller;

	private final CallDialect dialect;

	private final Consumer<DirectEvent> events;

	DirectOutput(HttpCaller caller, CallDialect dialect, Consumer<DirectEvent> events) {
		this.caller = caller;
		this.dialect = dialect;
		this.events = events;
	}

	@Override
	public void send(DirectCall call, DispatchEffect.Send send) {
		int dispatch = call.job().dispatchNumber();
		onIoThread(() -> {
			if (call.complete()) {
				// The answer before this dispatch came whole while it was given up.
				this.events.accept(new DirectEvent.Ended(call, dispatch, DispatchOutcome.DONE, "whole before"));
				return;
			}
			Relay relay = new Relay(call, dispatch, this.dialect, this.events);
			call.relay(Optional.of(relay));
			relay.started(this.caller.stream(outbound(call, send), relay));
		});
	}

	@Override
	public void stop(DirectCall call) {
		onIoThread(() -> call.relay(Optional.empty()));
	}

	@Override
	public void refuse(DirectCall call, Code code, long retryAfterMillis) {
		onIoThread(() -> call.answer().refuse(Refusal.later(code.name(), code.summary(), retryAfterMillis)));
	}

	@Override
	public void reject(Arrival arrival, int status, Code code) {
		onIoThread(() -> arrival.answer().refuse(Refusal.bad(status, code.name(), code.summary())));
	}

	@Override
	public void refuse(Arrival arrival, Code code, long retryAfterMillis) {
		onIoThread(() -> arrival.answer().refuse(Refusal.later(code.name(), code.summary(), retryAfterMillis)));
	}

	@Override
	public void fail(DirectCall call, Code code, boolean timeout) {
		onIoThread(() -> {
			if (call.complete()) {
				return;
			}
			call.relay(Optional.empty());
			int status = timeout ? GATEWAY_TIMEOUT : BAD_GATEWAY;
			call.answer().refuse(Refusal.unknown(status, code.name(), code.summary()));
		});
	}

	@Override
	public void passOn(DirectCall call) {
		onIoThread(() -> call.held()
			.ifPresent((held) -> call.answer().whole(held.status(), held.headers(), "", held.body())));
	}

	private HttpCall outbound(DirectCall call, DispatchEffect.Send send) {
		Arrival arrival = call.arrival();
		Job job = call.job();
		long remaining = Math.max(1, TimeUnit.NANOSECONDS.toMillis(job.deadlineNanos() - System.nanoTime()));
		Map<String, String> headers = new LinkedHashMap<>(arrival.headers());
		OutboundCall added = new OutboundCall(remaining, send.runner().id(), job.organisation().map(Organisation::name),
				send.rank(), send.weightsVersion(), job.lastEvent());
		this.dialect.outbound(added).forEach((header) -> headers.put(header.getKey(), header.getValue()));
		URI target = URI.create("http://" + send.runner().address() + arrival.target());
		HttpTimes times = HttpTimes.whole(Duration.ofMillis(remaining).plus(SLACK));
		return new HttpCall(arrival.method(), target, headers, arrival.body(),
				send.requiresNewConnection() ? times.connect(tryTime(job.route().targetLatency())) : times,
				mostIdle(send), Optional.empty());
	}

	private static Optional<Duration> mostIdle(DispatchEffect.Send send) {
		if (send.requiresNewConnection()) {
			return Optional.of(Duration.ZERO);
		}
		return send.job().route().retryable() ? Optional.empty() : Optional.of(ONCE_MOST_IDLE);
	}

	private static Duration tryTime(Duration target) {
		long millis = (long) (TRY_SHARE * target.toMillis());
		return Duration.ofMillis(Math.clamp(millis, TRY_LEAST_MILLIS, TRY_MOST_MILLIS));
	}

	private void onIoThread(Runnable task) {
		this.caller.worker().getIoThread().execute(task);
	}

}
