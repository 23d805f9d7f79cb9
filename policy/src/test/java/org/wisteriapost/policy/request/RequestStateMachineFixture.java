package org.wisteriapost.policy.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A {@link RequestStateMachine} with a simulated clock, and shorthands for its events.
 */
final class RequestStateMachineFixture {

	static final String SERVICE = "lm-notice";

	static final String DIGEST = "d1";

	final RequestStateMachine machine;

	long nowNanos;

	private RequestStateMachineFixture(RequestPolicySettings settings) {
		this.machine = RequestStateMachine.create(settings, 7);
		apply(new RequestEvent.HeadRead(1, Map.of(SERVICE, Set.of(DIGEST))));
	}

	static RequestStateMachineFixture of(String... runners) {
		return of(RequestPolicySettings.defaults(), 1, runners);
	}

	static RequestStateMachineFixture of(RequestPolicySettings settings, int capacity, String... runners) {
		RequestStateMachineFixture fixture = new RequestStateMachineFixture(settings);
		for (String runner : runners) {
			fixture.apply(new RequestEvent.RunnerReported(status(runner, capacity)));
		}
		return fixture;
	}

	static RunnerStatus status(String runner, int capacity) {
		return status(runner, true, DIGEST, 0, capacity);
	}

	static RunnerStatus status(String runner, boolean admitting, String digest, int running, int capacity) {
		return new RunnerStatus(runner, "clyde-a", SERVICE, admitting, digest, 1, running, 0, capacity, Set.of());
	}

	Request request(long id) {
		return request(id, "org-0", Priority.NORMAL, 1);
	}

	Request request(long id, String organisation, Priority priority, int cost) {
		long deadline = this.nowNanos + Duration.ofSeconds(10).toNanos();
		return new Request(id, organisation, SERVICE, priority, deadline, true, 0, cost);
	}

	Request nonIdempotentRequest(long id) {
		Request idempotent = request(id);
		return new Request(id, idempotent.organisation(), SERVICE, idempotent.priority(), idempotent.deadlineNanos(),
				false, 0, 1);
	}

	List<RequestEffect> apply(RequestEvent event) {
		return this.machine.apply(event, this.nowNanos);
	}

	List<RequestEffect> arrive(Request request) {
		return apply(new RequestEvent.Arrived(request));
	}

	List<RequestEffect> arrive(long id) {
		return arrive(request(id));
	}

	/**
	 * Completes a request after the given time.
	 */
	List<RequestEffect> end(long id, long millis) {
		this.nowNanos += Duration.ofMillis(millis).toNanos();
		return apply(new RequestEvent.AnswerCompleted(id));
	}

	List<RequestEffect> fail(long id, String runner, boolean notRun) {
		return apply(new RequestEvent.DispatchFailed(id, runner, notRun, "link-lost", 0));
	}

	List<RequestEffect> tickAfter(long millis) {
		this.nowNanos += Duration.ofMillis(millis).toNanos();
		return apply(new RequestEvent.Tick());
	}

}
