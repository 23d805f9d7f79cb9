package org.wisteriapost.agent;

import java.net.URI;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.agent.AgentEvent;
import org.wisteriapost.policy.request.Priority;
import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.Header;
import org.wisteriapost.protocol.wire.Outcome;

/**
 * Calls from entries that are queued for the runner or running there.
 */
final class RunnerCalls {

	private static final Code OVERRUN = Code.refusal("gate-overrun",
			"The agent has more to do than it can take in; the call was not run.");

	private static final Code OTHER_SERVICE = Code.refusal("gate-other-service",
			"The call is for another service than this VM's runner serves.");

	private static final long OVERRUN_RETRY_MILLIS = 200;

	// Not forwarded, since the connection to the runner sets its own.
	private static final Set<String> EXCLUDED_HEADERS = Set.of("host", "connection", "keep-alive", "transfer-encoding",
			"content-length", "trailer", "upgrade", "te", "expect", "proxy-connection");

	private final String service;

	private final URI runner;

	private final long maxCallNanos;

	private final PooledHttpClient caller;

	private final AgentLoop loop;

	private final AgentMetrics metrics;

	private final Map<Long, RunnerCall> calls = new ConcurrentHashMap<>();

	private final Map<LinkCall, Long> keysByLinkCall = new ConcurrentHashMap<>();

	private final AtomicLong lastKey = new AtomicLong();

	private final RecentSeries series = new RecentSeries();

	private AgentLinks agentLinks;

	RunnerCalls(String service, URI runner, Duration maxCallDuration, PooledHttpClient caller, AgentLoop loop,
			AgentMetrics metrics) {
		this.service = service;
		this.runner = runner;
		this.maxCallNanos = maxCallDuration.toNanos();
		this.caller = caller;
		this.loop = loop;
		this.metrics = metrics;
	}

	void setLinks(AgentLinks agentLinks) {
		this.agentLinks = agentLinks;
	}

	void accept(Link link, Call call) {
		long now = this.loop.nowNanos();
		long key = this.lastKey.incrementAndGet();
		long remaining = Math.min(TimeUnit.MILLISECONDS.toNanos(call.getRemainingMillis()), this.maxCallNanos);
		RunnerCall runnerCall = new RunnerCall(key, link, call, now + remaining, this);
		if (!call.getService().equals(this.service)) {
			runnerCall.end(Outcome.NOT_RUN, OTHER_SERVICE.name(), 0);
			return;
		}
		this.calls.put(key, runnerCall);
		this.keysByLinkCall.put(new LinkCall(link, call.getId()), key);
		boolean queued = this.loop.offer(new AgentEvent.CallArrived(key, priority(call), call.getWeightsDigest(), now,
				runnerCall.deadlineNanos()));
		if (!queued) {
			refuse(key, OVERRUN.name(), OVERRUN_RETRY_MILLIS);
		}
	}

	void start(long key) {
		RunnerCall runnerCall = this.calls.get(key);
		long remaining = (runnerCall != null) ? runnerCall.deadlineNanos() - this.loop.nowNanos() : 0;
		if (runnerCall == null) {
			this.loop.post(new AgentEvent.CallEnded(key));
			return;
		}
		runnerCall.exchangeStarted(this.caller.stream(request(runnerCall.call(), Math.max(1, remaining)), runnerCall));
	}

	void refuse(long key, String code, long retryAfterMillis) {
		remove(key).ifPresent((runnerCall) -> runnerCall.end(Outcome.NOT_RUN, code, retryAfterMillis));
	}

	void cancel(Link link, long id) {
		Long key = this.keysByLinkCall.get(new LinkCall(link, id));
		if (key != null) {
			this.loop.post(new AgentEvent.CallCancelled(key));
		}
	}

	/**
	 * Cancels a call at the runner, or removes a call that was not started.
	 */
	void cancel(long key) {
		RunnerCall runnerCall = this.calls.get(key);
		if (runnerCall != null && !runnerCall.cancel()) {
			remove(key);
		}
	}

	/**
	 * Cancels the calls of a closed link, whose responses can no longer be delivered.
	 */
	void linkClosed(Link link) {
		this.calls.forEach((key, runnerCall) -> {
			if (runnerCall.link() == link) {
				this.loop.post(new AgentEvent.CallCancelled(key));
			}
		});
	}

	void linkWritable(Link link) {
		this.calls.values().stream().filter((runnerCall) -> runnerCall.link() == link).forEach(RunnerCall::resume);
	}

	Optional<RunnerCall> remove(long key) {
		RunnerCall runnerCall = this.calls.remove(key);
		if (runnerCall != null) {
			this.keysByLinkCall.remove(new LinkCall(runnerCall.link(), runnerCall.call().getId()));
		}
		return Optional.ofNullable(runnerCall);
	}

	AgentLoop loop() {
		return this.loop;
	}

	AgentLinks agentLinks() {
		return this.agentLinks;
	}

	AgentMetrics metrics() {
		return this.metrics;
	}

	private HttpCall request(Call call, long remainingNanos) {
		Duration timeout = Duration.ofNanos(Math.max(remainingNanos, TimeUnit.MILLISECONDS.toNanos(1)));
		HttpCall request = HttpCall.of(call.getMethod(), this.runner.resolve(call.getPath()), timeout)
			.body(call.getBody().toByteArray());
		for (Header header : call.getHeadersList()) {
			if (!EXCLUDED_HEADERS.contains(header.getName().toLowerCase(Locale.ROOT))) {
				request = request.header(header.getName(), header.getValue());
			}
		}
		return request.identifiedBy(CallerHeaders.REQUEST_ID, call.getRequestId())
			.in(this.series.of(call.getRequestId()))
			.header(CallerHeaders.PRIORITY, priority(call).name().toLowerCase(Locale.ROOT))
			.header(CallerHeaders.DEADLINE, Long.toString(timeout.toMillis()));
	}

	private static Priority priority(Call call) {
		return switch (call.getPriority()) {
			case URGENT -> Priority.URGENT;
			case BULK -> Priority.BULK;
			case NORMAL, UNRECOGNIZED -> Priority.NORMAL;
		};
	}

	private record LinkCall(Link link, long id) {
	}

}
