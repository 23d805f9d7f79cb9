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
 * Long runs of random events in any order: answers that are late, crossed or doubled,
 * runners that come and go, heads that change and are old. The promises are checked from
 * the outside, by what was asked of the I/O layer and what it said before.
 */
class RandomEventsTests {

	private static final int EVENTS = 40_000;

	private static final int RUNNERS = 8;

	private final Fixture fixture = Fixture.of(RequestPolicySettings.defaults(), 2, "runner-0", "runner-1", "runner-2");

	private final Map<Long, Seen> seen = new HashMap<>();

	private final List<Long> live = new ArrayList<>();

	private final List<RequestEvent> past = new ArrayList<>();

	private final Set<String> broken = new HashSet<>();

	private UniformRandomProvider random;

	private long ids;

	private long generation = 1;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void everyPromiseHolds(long seed) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		for (int each = 0; each < EVENTS; each++) {
			this.fixture.nowNanos += this.random.nextLong(20_000_000);
			step(event());
		}
		this.fixture.nowNanos += Duration.ofMinutes(10).toNanos();
		step(new RequestEvent.Tick());
		this.seen.forEach((id, one) -> check(one.ended, "request without an end"));
		assertThat(this.broken, is(Set.of()));
		assertThat(this.fixture.machine.violations(), is(Map.of()));
		assertThat(this.fixture.machine.open(), is(0));
	}

	private RequestEvent event() {
		if (!this.past.isEmpty() && this.random.nextInt(20) == 0) {
			return again(this.past.get(this.random.nextInt(this.past.size())));
		}
		return switch (this.random.nextInt(16)) {
			case 0, 1, 2, 3 -> arrived();
			case 4, 5, 6, 7, 8, 9 -> ofRequest();
			case 10 -> remembered(new RequestEvent.RunnerLost(runner()));
			case 11, 12, 13 -> remembered(new RequestEvent.RunnerSeen(Fixture.view(runner(), this.random.nextInt(8) > 0,
					"d" + (1 + this.random.nextInt(2)), this.random.nextInt(3), 2)));
			case 14 -> (this.random.nextInt(10) > 0) ? new RequestEvent.Tick() : head();
			default ->
				remembered(new RequestEvent.LeavingSeen((this.random.nextInt(4) > 0) ? Set.of() : Set.of(runner())));
		};
	}

	/**
	 * An event comes a second time. The I/O layer knows its own calls and reports the end
	 * of each once, so what comes again for a request in progress is of another call.
	 */
	private RequestEvent again(RequestEvent event) {
		if (!this.live.contains(idOf(event))) {
			return event;
		}
		boolean otherCall = event instanceof RequestEvent.Failed failed
				&& !failed.runner().equals(this.seen.get(failed.id()).runner);
		return (otherCall || event instanceof RequestEvent.Claimed) ? event : new RequestEvent.Tick();
	}

	private RequestEvent head() {
		this.generation++;
		Set<String> digests = this.random.nextBoolean() ? Set.of("d1", "d2") : Set.of("d1");
		return remembered(new RequestEvent.HeadSeen(this.generation, Map.of(Fixture.SERVICE, digests)));
	}

	private RequestEvent arrived() {
		long id = ++this.ids;
		this.live.add(id);
		boolean idempotent = this.random.nextBoolean();
		this.seen.put(id, new Seen(idempotent));
		long deadline = this.fixture.nowNanos + this.random.nextLong(3_000_000_000L);
		return new RequestEvent.Arrived(new Request(id, "org-" + this.random.nextInt(4), Fixture.SERVICE,
				Priority.values()[this.random.nextInt(3)], deadline, idempotent, this.random.nextInt(5),
				1 + this.random.nextInt(12)));
	}

	/**
	 * What the I/O layer could say of a request at this time, and sometimes of another.
	 */
	private RequestEvent ofRequest() {
		if (this.live.isEmpty()) {
			return new RequestEvent.Tick();
		}
		long id = this.live.get(this.random.nextInt(this.live.size()));
		Seen one = this.seen.get(id);
		if (this.random.nextInt(30) == 0) {
			one.ended = true;
			return remembered(new RequestEvent.CallerGone(id));
		}
		if (one.claiming) {
			one.claiming = false;
			one.claimed = this.random.nextInt(5) > 0;
			one.ended |= !one.claimed;
			return remembered(one.claimed ? new RequestEvent.Claimed(id) : new RequestEvent.ClaimLost(id));
		}
		if (one.runner.isEmpty()) {
			return new RequestEvent.Tick();
		}
		if (!one.started && this.random.nextInt(3) == 0) {
			one.started = true;
			return remembered(new RequestEvent.Started(id));
		}
		return end(id, one);
	}

	private RequestEvent end(long id, Seen one) {
		String runner = one.runner;
		one.runner = "";
		if (this.random.nextBoolean()) {
			one.ended = true;
			return remembered(new RequestEvent.Ended(id));
		}
		boolean notRun = !one.started && this.random.nextBoolean();
		one.uncertain -= notRun ? 1 : 0;
		String code = (notRun && this.random.nextBoolean()) ? "gate-full" : "link-lost";
		return remembered(new RequestEvent.Failed(id, runner, notRun, code, 0));
	}

	private RequestEvent remembered(RequestEvent event) {
		if (this.past.size() < 500) {
			this.past.add(event);
		}
		else {
			this.past.set(this.random.nextInt(500), event);
		}
		return event;
	}

	private void step(RequestEvent event) {
		this.fixture.apply(event).forEach(this::effect);
		this.live.removeIf((id) -> this.seen.get(id).ended);
	}

	private static long idOf(RequestEvent event) {
		return switch (event) {
			case RequestEvent.Claimed claimed -> claimed.id();
			case RequestEvent.ClaimLost lost -> lost.id();
			case RequestEvent.Started started -> started.id();
			case RequestEvent.Ended ended -> ended.id();
			case RequestEvent.Failed failed -> failed.id();
			case RequestEvent.CallerGone gone -> gone.id();
			default -> 0;
		};
	}

	private void effect(RequestEffect effect) {
		Seen one = this.seen.get(effect.id());
		boolean cancel = effect instanceof RequestEffect.Cancel;
		check(!one.ended || cancel, "effect after the end");
		switch (effect) {
			case RequestEffect.Claim claim -> {
				check(!one.claimed && !one.idempotent, "needless claim");
				one.claiming = true;
			}
			case RequestEffect.Dispatch dispatch -> {
				check(one.idempotent || one.claimed, "sent without a claim");
				check(one.idempotent || one.uncertain == 0, "sent twice");
				check(one.runner.isEmpty() && !one.started, "sent while running");
				one.runner = dispatch.runner();
				one.uncertain++;
			}
			case RequestEffect.Refuse refuse -> {
				check(one.uncertain == 0, "not run said of what may have run");
				check(refuse.retryAfterMillis() > 0, "no time to come back");
				one.ended = true;
			}
			case RequestEffect.GiveUp gaveUp -> one.ended = true;
			case RequestEffect.Cancel cancelled -> one.runner = "";
		}
	}

	private void check(boolean condition, String promise) {
		if (!condition) {
			this.broken.add(promise);
		}
	}

	private String runner() {
		return "runner-" + this.random.nextInt(RUNNERS);
	}

	/**
	 * What the outside knows of one request.
	 */
	private static final class Seen {

		private final boolean idempotent;

		private String runner = "";

		private boolean claiming;

		private boolean claimed;

		private boolean started;

		private boolean ended;

		private int uncertain;

		private Seen(boolean idempotent) {
			this.idempotent = idempotent;
		}

	}

}
