package org.wisteriapost.entry.direct;

import java.net.URI;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.wisteriapost.entry.caller.Refusal;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.dispatch.DispatchEffect;
import org.wisteriapost.policy.dispatch.DispatchOutcome;
import org.wisteriapost.policy.dispatch.Job;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.routing.Organisation;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpTimeouts;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.site.CallProtocol;
import org.wisteriapost.protocol.site.RunnerRequestFields;

/**
 * Performs the state thread's decisions on the I/O thread, in order.
 */
final class DirectOutput implements CallOutput {

	// Dispatches are numbered from 1.
	private static final int NO_DISPATCH = 0;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	// Leaves the runner time to report its own timeout before the connection is closed.
	private static final Duration RESPONSE_TIMEOUT_MARGIN = Duration.ofMillis(300);

	// A runner may close an idle connection at any time. A request sent on it is then
	// reset with unknown outcome, so a request that must not be repeated would be lost.
	// Connections used within this time are rarely closed, and a new one costs about a
	// millisecond.
	private static final Duration MAX_IDLE_IF_NOT_REPEATABLE = Duration.ofMillis(800);

	// Connect timeout for a dispatch that probes a runner path that may be down, as a
	// share of the route's target time, so that another runner can still answer in time.
	// Connecting takes some milliseconds within a site and some tens to another region.
	private static final double PROBE_TIMEOUT_SHARE = 0.4;

	private static final long MIN_PROBE_TIMEOUT_MILLIS = 100;

	private static final long MAX_PROBE_TIMEOUT_MILLIS = 400;

	// Connecting takes some tens of milliseconds to another region.
	private static final Duration CHECK_TIMEOUT = Duration.ofMillis(300);

	private final PooledHttpClient caller;

	private final CallProtocol dialect;

	private final Consumer<DirectEvent> events;

	DirectOutput(PooledHttpClient caller, CallProtocol dialect, Consumer<DirectEvent> events) {
		this.caller = caller;
		this.dialect = dialect;
		this.events = events;
	}

	@Override
	public void send(DirectCall call, DispatchEffect.Send send) {
		int dispatch = send.dispatch();
		onIoThread(() -> {
			if (call.complete()) {
				// The previous dispatch completed the answer before it was cancelled.
				this.events.accept(DirectEvent.DispatchEnded.withoutConnection(call, dispatch, DispatchOutcome.DONE,
						"answer already complete"));
				return;
			}
			List<Integer> others = call.others(dispatch);
			if (!others.isEmpty() && call.job().events() != send.events()) {
				// The other runner has gone on since the second one was chosen.
				this.events.accept(new DirectEvent.DispatchSuperseded(call, dispatch, others.getFirst()));
				return;
			}
			ResponseForwarder forwarder = new ResponseForwarder(call, dispatch, send.runner(), this.dialect,
					this.events, this.caller.bufferQuota());
			call.addForwarder(dispatch, forwarder);
			forwarder.exchangeStarted(this.caller.stream(outbound(call, send), forwarder));
		});
	}

	@Override
	public void check(RunnerInfo runner) {
		this.caller.checkConnection(URI.create("http://" + runner.address()), CHECK_TIMEOUT,
				(accepts) -> this.events.accept(new DirectEvent.RunnerChecked(runner, accepts)));
	}

	@Override
	public void stop(DirectCall call, int dispatch) {
		onIoThread(() -> call.cancel(dispatch));
	}

	@Override
	public void refuse(DirectCall call, Code code, long retryAfterMillis) {
		onIoThread(() -> call.answer().refuse(Refusal.temporary(code.name(), code.summary(), retryAfterMillis)));
	}

	@Override
	public void reject(IncomingRequest request, int status, Code code) {
		onIoThread(() -> request.answer().refuse(Refusal.invalidRequest(status, code.name(), code.summary())));
	}

	@Override
	public void refuse(IncomingRequest request, Code code, long retryAfterMillis) {
		onIoThread(() -> request.answer().refuse(Refusal.temporary(code.name(), code.summary(), retryAfterMillis)));
	}

	@Override
	public void fail(DirectCall call, Code code, boolean timeout) {
		onIoThread(() -> {
			if (call.complete()) {
				return;
			}
			call.cancelOthers(NO_DISPATCH);
			int status = timeout ? GATEWAY_TIMEOUT : BAD_GATEWAY;
			call.answer().refuse(Refusal.outcomeUnknown(status, code.name(), code.summary()));
		});
	}

	@Override
	public void forwardRunnerFailure(DirectCall call) {
		onIoThread(() -> call.heldResponse()
			.ifPresent((held) -> call.answer().complete(held.status(), held.headers(), "", held.body())));
	}

	/**
	 * Returns a future that completes when everything decided so far was carried out.
	 */
	CompletableFuture<Void> carriedOut() {
		return CompletableFuture.runAsync(() -> {
		}, this.caller.worker().getIoThread());
	}

	private HttpCall outbound(DirectCall call, DispatchEffect.Send send) {
		IncomingRequest request = call.request();
		Job job = call.job();
		long remaining = Math.max(1, TimeUnit.NANOSECONDS.toMillis(job.deadlineNanos() - System.nanoTime()));
		Map<String, String> headers = new LinkedHashMap<>(request.headers());
		// An event may have been forwarded since the runner was chosen.
		OptionalInt version = (job.events() > 0) ? job.weightsVersion() : send.weightsVersion();
		RunnerRequestFields headerFields = new RunnerRequestFields(remaining, send.runner().id(),
				job.organisation().map(Organisation::name), send.rank(), version, job.lastEvent());
		this.dialect.runnerHeaders(headerFields).forEach((header) -> headers.put(header.getKey(), header.getValue()));
		URI runner = URI.create("http://" + send.runner().address());
		HttpTimeouts timeouts = HttpTimeouts.total(Duration.ofMillis(remaining).plus(RESPONSE_TIMEOUT_MARGIN));
		HttpCall outbound = HttpCall
			.of(request.method(), runner,
					send.requiresNewConnection() ? timeouts.connect(probeTimeout(job.route().targetLatency()))
							: timeouts)
			.rawTarget(request.target())
			.headers(headers)
			.body(request.body())
			.in(call.dispatches());
		return maxConnectionIdle(send).map(outbound::maxReuseIdle).orElse(outbound);
	}

	private static Optional<Duration> maxConnectionIdle(DispatchEffect.Send send) {
		if (send.requiresNewConnection()) {
			return Optional.of(Duration.ZERO);
		}
		return send.job().route().retryable() ? Optional.empty() : Optional.of(MAX_IDLE_IF_NOT_REPEATABLE);
	}

	private static Duration probeTimeout(Duration target) {
		long millis = (long) (PROBE_TIMEOUT_SHARE * target.toMillis());
		return Duration.ofMillis(Math.clamp(millis, MIN_PROBE_TIMEOUT_MILLIS, MAX_PROBE_TIMEOUT_MILLIS));
	}

	private void onIoThread(Runnable task) {
		this.caller.worker().getIoThread().execute(task);
	}

}
