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
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.Header;
import org.wisteriapost.protocol.wire.Outcome;

/**
 * Calls from entries on their way to the runner.
 */
final class RunnerCalls {

	private static final Code OVERRUN = Code.refusal("gate-overrun",
			"The agent has more to do than it can take in; the call was not run.");

	private static final Code OTHER_SERVICE = Code.refusal("gate-other-service",
			"The call is for another service than this VM's runner serves.");

	private static final long OVERRUN_RETRY_MILLIS = 200;

	// Set anew for the runner's connection.
	private static final Set<String> NOT_PASSED = Set.of("host", "connection", "keep-alive", "transfer-encoding",
			"content-length", "trailer", "upgrade", "te", "expect", "proxy-connection");

	private final String service;

	private final URI runner;

	private final long maxNanos;

	private final HttpCaller caller;

	private final AgentLoop loop;

	private final AgentMetrics metrics;

	private final Map<Long, RunnerCall> calls = new ConcurrentHashMap<>();

	private final Map<LinkCall, Long> keys = new ConcurrentHashMap<>();

	private final AtomicLong lastKey = new AtomicLong();

	private AgentLinks links;

	RunnerCalls(String service, URI runner, Duration longest, HttpCaller caller, AgentLoop loop, AgentMetrics metrics) {
		this.service = service;
		this.runner = runner;
		this.maxNanos = longest.toNanos();
		this.caller = caller;
		this.loop = loop;
		this.metrics = metrics;
	}

	void connect(AgentLinks toLinks) {
		this.links = toLinks;
	}

	void arrive(Link link, Call call) {
		long now = this.loop.now();
		long key = this.lastKey.incrementAndGet();
		long remaining = Math.min(TimeUnit.MILLISECONDS.toNanos(call.getRemainingMillis()), this.maxNanos);
		RunnerCall task = new RunnerCall(key, link, call, now + remaining, this);
		if (!call.getService().equals(this.service)) {
			task.end(Outcome.NOT_RUN, OTHER_SERVICE.name(), 0);
			return;
		}
		this.calls.put(key, task);
		this.keys.put(new LinkCall(link, call.getId()), key);
		boolean taken = this.loop
			.offer(new AgentEvent.CallArrived(key, priority(call), call.getWeightsDigest(), now, task.deadlineNanos()));
		if (!taken) {
			refuse(key, OVERRUN.name(), OVERRUN_RETRY_MILLIS);
		}
	}

	void start(long key) {
		RunnerCall task = this.calls.get(key);
		long remaining = (task != null) ? task.deadlineNanos() - this.loop.now() : 0;
		if (task == null) {
			this.loop.post(new AgentEvent.CallEnded(key));
			return;
		}
		task.started(this.caller.stream(request(task.call(), Math.max(1, remaining)), task));
	}

	void refuse(long key, String code, long retryAfterMillis) {
		forget(key).ifPresent((task) -> task.end(Outcome.NOT_RUN, code, retryAfterMillis));
	}

	void cancel(Link link, long id) {
		Long key = this.keys.get(new LinkCall(link, id));
		if (key != null) {
			this.loop.post(new AgentEvent.CallCancelled(key));
		}
	}

	/**
	 * Cancels at the runner, or forgets a call that never started.
	 */
	void cancel(long key) {
		RunnerCall task = this.calls.get(key);
		if (task != null && !task.cancel()) {
			forget(key);
		}
	}

	/**
	 * Gives up the work of a link that is gone: nobody can take its answers.
	 */
	void linkLost(Link link) {
		this.calls.forEach((key, task) -> {
			if (task.link() == link) {
				this.loop.post(new AgentEvent.CallCancelled(key));
			}
		});
	}

	void writable(Link link) {
		this.calls.values().stream().filter((task) -> task.link() == link).forEach(RunnerCall::resume);
	}

	Optional<RunnerCall> forget(long key) {
		RunnerCall task = this.calls.remove(key);
		if (task != null) {
			this.keys.remove(new LinkCall(task.link(), task.call().getId()));
		}
		return Optional.ofNullable(task);
	}

	AgentLoop loop() {
		return this.loop;
	}

	AgentLinks links() {
		return this.links;
	}

	AgentMetrics metrics() {
		return this.metrics;
	}

	private HttpCall request(Call call, long remainingNanos) {
		Duration timeout = Duration.ofNanos(Math.max(remainingNanos, TimeUnit.MILLISECONDS.toNanos(1)));
		HttpCall request = HttpCall.of(call.getMethod(), this.runner.resolve(call.getPath()), timeout)
			.body(call.getBody().toByteArray());
		for (Header header : call.getHeadersList()) {
			if (!NOT_PASSED.contains(header.getName().toLowerCase(Locale.ROOT))) {
				request = request.header(header.getName(), header.getValue());
			}
		}
		return request.header(CallerHeaders.REQUEST_ID, call.getRequestId())
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
