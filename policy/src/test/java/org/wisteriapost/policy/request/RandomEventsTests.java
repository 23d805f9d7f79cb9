package org.wisteriapost.policy.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Long sequences of random events in any order: late, reordered and duplicate answers,
 * runners that connect and disconnect, new and outdated heads. The guarantees are checked
 * from outside, by the effects and the events that caused them.
 */
class RandomEventsTests {

	private static final int EVENTS = 40_000;

	private static final int RUNNERS = 8;

	private final RequestStateMachineFixture fixture = RequestStateMachineFixture.of(RequestPolicySettings.defaults(),
			2, "runner-0", "runner-1", "runner-2");

	private final Map<Long, ObservedRequest> requests = new HashMap<>();

	private final List<Long> openIds = new ArrayList<>();

	private final List<RequestEvent> history = new ArrayList<>();

	private final Set<String> violations = new HashSet<>();

	private UniformRandomProvider random;

	private long ids;

	private long generation = 1;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void allGuaranteesHold(long seed) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		for (int i = 0; i < EVENTS; i++) {
			this.fixture.nowNanos += this.random.nextLong(20_000_000);
			step(nextEvent());
		}
		this.fixture.nowNanos += Duration.ofMinutes(10).toNanos();
		step(new RequestEvent.Tick());
		this.requests.forEach((id, request) -> check(request.ended, "request without a final answer"));
		assertThat(this.violations, is(Set.of()));
		assertThat(this.fixture.machine.violations(), is(Map.of()));
		assertThat(this.fixture.machine.pendingCount(), is(0));
	}

	private RequestEvent nextEvent() {
		if (!this.history.isEmpty() && this.random.nextInt(20) == 0) {
			return repeat(this.history.get(this.random.nextInt(this.history.size())));
		}
		return switch (this.random.nextInt(16)) {
			case 0, 1, 2, 3 -> arrival();
			case 4, 5, 6, 7, 8, 9 -> requestEvent();
			case 10 -> recorded(new RequestEvent.RunnerDisconnected(runner()));
			case 11, 12, 13 -> recorded(new RequestEvent.RunnerReported(RequestStateMachineFixture.status(runner(),
					this.random.nextInt(8) > 0, "d" + (1 + this.random.nextInt(2)), this.random.nextInt(3), 2)));
			case 14 -> (this.random.nextInt(10) > 0) ? new RequestEvent.Tick() : headUpdate();
			default ->
				recorded(new RequestEvent.LeavingVmsRead((this.random.nextInt(4) > 0) ? Set.of() : Set.of(runner())));
		};
	}

	/**
	 * Repeats an earlier event. The I/O layer reports the end of each of its calls once,
	 * so that a repeated event for a pending request must concern another call.
	 */
	private RequestEvent repeat(RequestEvent event) {
		if (!this.openIds.contains(idOf(event))) {
			return event;
		}
		boolean otherCall = event instanceof RequestEvent.DispatchFailed failed
				&& !failed.runner().equals(this.requests.get(failed.id()).runner);
		return (otherCall || event instanceof RequestEvent.Claimed) ? event : new RequestEvent.Tick();
	}

	private RequestEvent headUpdate() {
		this.generation++;
		Set<String> digests = this.random.nextBoolean() ? Set.of("d1", "d2") : Set.of("d1");
		return recorded(
				new RequestEvent.HeadRead(this.generation, Map.of(RequestStateMachineFixture.SERVICE, digests)));
	}

	private RequestEvent arrival() {
		long id = ++this.ids;
		this.openIds.add(id);
		boolean idempotent = this.random.nextBoolean();
		this.requests.put(id, new ObservedRequest(idempotent));
		long deadline = this.fixture.nowNanos + this.random.nextLong(3_000_000_000L);
		return new RequestEvent.Arrived(new Request(id, "org-" + this.random.nextInt(4),
				RequestStateMachineFixture.SERVICE, Priority.values()[this.random.nextInt(3)], deadline, idempotent,
				this.random.nextInt(5), 1 + this.random.nextInt(12)));
	}

	/**
	 * Returns an event that the I/O layer may send for a pending request in its current
	 * stage.
	 */
	private RequestEvent requestEvent() {
		if (this.openIds.isEmpty()) {
			return new RequestEvent.Tick();
		}
		long id = this.openIds.get(this.random.nextInt(this.openIds.size()));
		ObservedRequest request = this.requests.get(id);
		if (this.random.nextInt(30) == 0) {
			request.ended = true;
			return recorded(new RequestEvent.CallerDisconnected(id));
		}
		if (request.claiming) {
			request.claiming = false;
			request.claimed = this.random.nextInt(5) > 0;
			request.ended |= !request.claimed;
			return recorded(request.claimed ? new RequestEvent.Claimed(id) : new RequestEvent.ClaimFailed(id));
		}
		if (request.runner.isEmpty()) {
			return new RequestEvent.Tick();
		}
		if (!request.started && this.random.nextInt(3) == 0) {
			request.started = true;
			return recorded(new RequestEvent.AnswerStarted(id));
		}
		return end(id, request);
	}

	private RequestEvent end(long id, ObservedRequest request) {
		String runner = request.runner;
		request.runner = "";
		if (this.random.nextBoolean()) {
			request.ended = true;
			return recorded(new RequestEvent.AnswerCompleted(id));
		}
		boolean notRun = !request.started && this.random.nextBoolean();
		request.possibleRuns -= notRun ? 1 : 0;
		String code = (notRun && this.random.nextBoolean()) ? "gate-full" : "link-lost";
		return recorded(new RequestEvent.DispatchFailed(id, runner, notRun, code, 0));
	}

	private RequestEvent recorded(RequestEvent event) {
		if (this.history.size() < 500) {
			this.history.add(event);
		}
		else {
			this.history.set(this.random.nextInt(500), event);
		}
		return event;
	}

	private void step(RequestEvent event) {
		this.fixture.apply(event).forEach(this::checkEffect);
		this.openIds.removeIf((id) -> this.requests.get(id).ended);
	}

	private static long idOf(RequestEvent event) {
		return switch (event) {
			case RequestEvent.Claimed claimed -> claimed.id();
			case RequestEvent.ClaimFailed lost -> lost.id();
			case RequestEvent.AnswerStarted started -> started.id();
			case RequestEvent.AnswerCompleted ended -> ended.id();
			case RequestEvent.DispatchFailed failed -> failed.id();
			case RequestEvent.CallerDisconnected gone -> gone.id();
			default -> 0;
		};
	}

	private void checkEffect(RequestEffect effect) {
		ObservedRequest request = this.requests.get(effect.id());
		boolean cancel = effect instanceof RequestEffect.Cancel;
		check(!request.ended || cancel, "effect after the final answer");
		switch (effect) {
			case RequestEffect.Claim claim -> {
				check(!request.claimed && !request.idempotent, "unnecessary claim");
				request.claiming = true;
			}
			case RequestEffect.Dispatch dispatch -> {
				check(request.idempotent || request.claimed, "sent without a claim");
				check(request.idempotent || request.possibleRuns == 0, "sent twice");
				check(request.runner.isEmpty() && !request.started, "sent while running");
				request.runner = dispatch.runner();
				request.possibleRuns++;
			}
			case RequestEffect.Refuse refuse -> {
				check(request.possibleRuns == 0, "reported as not run although it may have run");
				check(refuse.retryAfterMillis() > 0, "no retry interval");
				request.ended = true;
			}
			case RequestEffect.AnswerUnknown gaveUp -> request.ended = true;
			case RequestEffect.Cancel cancelled -> request.runner = "";
		}
	}

	private void check(boolean condition, String guarantee) {
		if (!condition) {
			this.violations.add(guarantee);
		}
	}

	private String runner() {
		return "runner-" + this.random.nextInt(RUNNERS);
	}

	/**
	 * State of one request as seen by the I/O layer.
	 */
	private static final class ObservedRequest {

		private final boolean idempotent;

		private String runner = "";

		private boolean claiming;

		private boolean claimed;

		private boolean started;

		private boolean ended;

		private int possibleRuns;

		private ObservedRequest(boolean idempotent) {
			this.idempotent = idempotent;
		}

	}

}
