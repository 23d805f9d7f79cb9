package org.wisteriapost.policy.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.fleet.RunnerIncarnation;

import static org.hamcrest.MatcherAssert.assertThat;

class RolloutTests {

	private static final long MILLI = 1_000_000;

	private final Rollout rollout = Rollout.create(Duration.ofSeconds(8));

	private final List<RolloutEffect> all = new ArrayList<>();

	private long now = 100_000 * MILLI;

	private void report(int version, boolean busy) {
		this.rollout.reportReceived((version > 0) ? OptionalInt.of(version) : OptionalInt.empty(), busy, 0,
				RunnerIncarnation.UNKNOWN, this.now);
		this.all.addAll(this.rollout.drain());
	}

	// The first report may answer a read from long before; an outdated one is read again.
	private void reportAnew(int version) {
		report(version, false);
		report(version, false);
	}

	private void advance(long millis) {
		for (long done = 0; done < millis; done += 50) {
			this.now += 50 * MILLI;
			this.rollout.tick(this.now);
		}
		this.all.addAll(this.rollout.drain());
	}

	// Advances the time from each scheduled tick to the next; the engine answers each
	// read at once. Returns the number of ticks.
	private int runScheduled(long millis, int version) {
		long end = this.now + millis * MILLI;
		int ticks = 0;
		for (long next = next(); next <= end; next = next()) {
			this.now = next;
			ticks++;
			this.rollout.tick(this.now);
			List<RolloutEffect> effects = this.rollout.drain();
			this.all.addAll(effects);
			if (effects.contains(new RolloutEffect.ReadReport())) {
				report(version, false);
			}
		}
		this.now = end;
		return ticks;
	}

	private long next() {
		return Math.max(this.now, this.rollout.nextNanos(this.now)) + MILLI;
	}

	private void settleOn(int version) {
		report(version, false);
		setTarget(version);
		this.rollout.fetchEnded(version, true, this.now);
		advance(50);
		this.all.clear();
	}

	private void setTarget(int version) {
		this.rollout.setTarget(version, this.now);
		this.all.addAll(this.rollout.drain());
	}

	@Test
	void fetchesPublishesVerifiesAndOrdersInThisOrder() {
		report(1, false);
		setTarget(2);
		this.rollout.fetchEnded(2, true, this.now);
		advance(100);
		this.rollout.verificationEnded(2, true, this.now);
		advance(500);
		reportAnew(1);
		this.rollout.orderAnswered(OrderOutcome.ACCEPTED, this.now);
		report(1, true);
		report(2, false);
		this.all.addAll(this.rollout.drain());
		List<String> steps = this.all.stream()
			.filter((effect) -> !(effect instanceof RolloutEffect.ReadReport))
			.map((effect) -> switch (effect) {
				case RolloutEffect.PublishStatus tell ->
					"Tell " + tell.status().weightsVersion().orElse(0) + (tell.status().switching() ? " switching" : "")
							+ (tell.status().switchStartNanos().isPresent() ? " closes" : "");
				default -> effect.getClass().getSimpleName();
			})
			.toList();
		assertThat(steps,
				Matchers.contains("Tell 1", "Fetch", "Tell 1 closes", "Verify", "Tell 1 switching", "Take", "Tell 2"));
	}

	// A staged chunk is corrupted in memory. The verification before the order detects
	// it, and the weights are fetched again.
	@Test
	void corruptStagedWeightsAreFetchedAgainAndNeverOrdered() {
		report(1, false);
		setTarget(2);
		this.rollout.fetchEnded(2, true, this.now);
		advance(5000);
		this.all.clear();
		this.rollout.verificationEnded(2, false, this.now);
		advance(100);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Fetch(2)));
		assertThat(this.all, Matchers.not(Matchers.hasItem(Matchers.instanceOf(RolloutEffect.Take.class))));
	}

	// Early in a fetch a newer version replaces it; later the fetch is finished, since
	// restarting each time would leave no engine with an active version.
	@ParameterizedTest
	@ValueSource(doubles = { 0.2, 0.8 })
	void newerVersionWaitsForAFetchThatIsMostlyDone(double share) {
		report(1, false);
		setTarget(2);
		this.rollout.fetchProgressed(share, this.now);
		this.all.clear();
		setTarget(3);
		boolean abandoned = this.all.contains(new RolloutEffect.Abandon(2));
		assertThat(abandoned, Matchers.equalTo(share < 0.5));
	}

	// If all engines switched at the same time or shortly after one another, no request
	// would be served for a second or two. They switch in two to four groups, depending
	// on the time left until activation.
	@ParameterizedTest
	@CsvSource({ "4000,0,450", "4000,0.4,450", "4000,0.5,2450", "4000,0.99,2450", "1500,0.3,450", "1500,0.4,2450",
			"1500,0.99,4450", "6500,0.99,450" })
	void enginesSwitchInGroups(long fetchMillis, double position, double switchMillis) {
		settleOn(1);
		this.rollout.setPosition(position);
		setTarget(2);
		advance(fetchMillis);
		this.rollout.fetchEnded(2, true, this.now);
		advance(50);
		long closes = this.rollout.lastStatus().orElseThrow().status().switchStartNanos().orElseThrow() - this.now;
		assertThat((double) closes / MILLI, Matchers.closeTo(switchMillis - 50, 200));
		advance(Math.max(50, closes / MILLI - 300));
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Verify(2)));
	}

	// Requests that run at the time of a switch start up to two seconds before, so
	// entries are informed during the fetch; and again only when the time changes, since
	// each update is a message to every entry.
	@Test
	void switchIsAnnouncedDuringTheFetch() {
		settleOn(1);
		setTarget(2);
		advance(2000);
		this.rollout.fetchProgressed(0.5, this.now);
		advance(50);
		long closes = this.rollout.lastStatus().orElseThrow().status().switchStartNanos().orElseThrow() - this.now;
		assertThat((double) closes / MILLI, Matchers.closeTo(2400, 120));
		this.all.clear();
		advance(400);
		this.rollout.fetchProgressed(0.6, this.now);
		advance(50);
		assertThat(this.all, Matchers.not(Matchers.hasItem(Matchers.instanceOf(RolloutEffect.PublishStatus.class))));
		advance(1000);
		this.rollout.fetchProgressed(0.65, this.now);
		advance(50);
		assertThat(this.all, Matchers.hasItem(Matchers.instanceOf(RolloutEffect.PublishStatus.class)));
	}

	// The fetch of a newer version can begin only after the switch.
	@Test
	void switchIsEarlierWhenANewerVersionIsPending() {
		settleOn(1);
		this.rollout.setPosition(0.99);
		setTarget(2);
		advance(3000);
		this.rollout.fetchEnded(2, true, this.now);
		advance(50);
		setTarget(3);
		advance(50);
		long closes = this.rollout.lastStatus().orElseThrow().status().switchStartNanos().orElseThrow() - this.now;
		assertThat(closes / MILLI, Matchers.lessThan(1500L));
	}

	// The VM is paused between the verification and the order, so corruption in between
	// would go unnoticed.
	@Test
	void outdatedVerificationIsRepeated() {
		settleOn(1);
		setTarget(2);
		this.rollout.fetchEnded(2, true, this.now);
		advance(100);
		this.rollout.verificationEnded(2, true, this.now);
		this.all.clear();
		this.now += 4000 * MILLI;
		advance(50);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Verify(2)));
		assertThat(this.all, Matchers.not(Matchers.hasItem(Matchers.instanceOf(RolloutEffect.Take.class))));
	}

	// Guards against ordering what was corrupted while the verification was held up, by a
	// pause of the agent or an engine that answers slowly.
	@ParameterizedTest
	@CsvSource({ "200,true", "900,true", "1600,false", "4000,false" })
	void verificationCountsFromItsStart(long verificationMillis, boolean ordered) {
		report(0, false);
		setTarget(2);
		advance(2000);
		this.rollout.fetchEnded(2, true, this.now);
		this.all.addAll(this.rollout.drain());
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Verify(2)));
		this.all.clear();
		this.now += verificationMillis * MILLI;
		this.rollout.verificationEnded(2, true, this.now);
		reportAnew(0);
		assertThat(this.all.contains(new RolloutEffect.Take(2, 0)), Matchers.equalTo(ordered));
		assertThat(this.all.contains(new RolloutEffect.Verify(2)), Matchers.equalTo(!ordered));
	}

	@Test
	void nextFetchBeginsAsSoonAsTheOrderIsAccepted() {
		settleOn(1);
		setTarget(2);
		this.rollout.fetchEnded(2, true, this.now);
		setTarget(3);
		advance(1000);
		this.rollout.verificationEnded(2, true, this.now);
		reportAnew(1);
		this.all.clear();
		this.rollout.orderAnswered(OrderOutcome.ACCEPTED, this.now);
		advance(50);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Fetch(3)));
	}

	@Test
	void engineWithoutWeightsSwitchesAtOnce() {
		this.rollout.setPosition(0.99);
		report(0, false);
		setTarget(1);
		advance(4000);
		this.rollout.fetchEnded(1, true, this.now);
		advance(50);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Verify(1)));
	}

	// The engine restarts and loses weights that it had already taken.
	@Test
	void restartedEngineGetsItsWeightsAgain() {
		settleOn(2);
		report(0, false);
		advance(50);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Verify(2)));
	}

	// An engine that crashes during a switch and restarts without weights is ordered
	// again once the staged weights are verified. A late report of the previous
	// incarnation is ignored.
	@ParameterizedTest
	@CsvSource({ "1000,2000,1", "0,0,0" })
	void orderIsRepeatedAfterTheEngineRestarts(long firstStart, long secondStart, long orders) {
		RunnerIncarnation first = (firstStart > 0) ? RunnerIncarnation.startedAt(firstStart)
				: RunnerIncarnation.UNKNOWN;
		RunnerIncarnation second = (secondStart > 0) ? RunnerIncarnation.startedAt(secondStart)
				: RunnerIncarnation.UNKNOWN;
		this.rollout.reportReceived(OptionalInt.empty(), false, 0, first, this.now);
		setTarget(2);
		this.rollout.fetchEnded(2, true, this.now);
		advance(100);
		this.rollout.verificationEnded(2, true, this.now);
		this.rollout.reportReceived(OptionalInt.empty(), false, 0, first, this.now);
		this.rollout.reportReceived(OptionalInt.empty(), false, 0, first, this.now);
		this.rollout.orderAnswered(OrderOutcome.ACCEPTED, this.now);
		this.rollout.reportReceived(OptionalInt.empty(), true, 1, first, this.now);
		this.rollout.drain();
		this.all.clear();
		this.rollout.reportReceived(OptionalInt.empty(), false, orders, second, this.now);
		if (first.precedes(second)) {
			this.rollout.reportReceived(OptionalInt.of(2), false, 1, first, this.now);
		}
		advance(100);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Verify(2)));
	}

	// Guards against an order with the order count of an earlier incarnation, which a
	// restarted engine could accept once its own count reaches it.
	@Test
	void orderFollowsAReportThatIsNewerThanTheVerification() {
		report(0, false);
		setTarget(2);
		advance(2000);
		this.rollout.fetchEnded(2, true, this.now);
		this.now += 300 * MILLI;
		this.rollout.verificationEnded(2, true, this.now);
		this.all.clear();
		this.all.addAll(this.rollout.drain());
		assertThat(this.all, Matchers.not(Matchers.hasItem(new RolloutEffect.Take(2, 0))));
		this.rollout.reportReceived(OptionalInt.empty(), false, 0, RunnerIncarnation.UNKNOWN, this.now);
		this.rollout.reportReceived(OptionalInt.empty(), false, 7, RunnerIncarnation.UNKNOWN, this.now);
		assertThat(this.rollout.drain(), Matchers.hasItem(new RolloutEffect.Take(2, 7)));
	}

	// After a restart of all engines a fetch only reads the staged weights back.
	// Verifying them twice would delay the recovery. A long fetch has chunks that were
	// verified long ago.
	@ParameterizedTest
	@CsvSource({ "300,true", "4000,false" })
	void weightsVerifiedByAQuickFetchAreOrderedAtOnce(long fetchMillis, boolean atOnce) {
		report(0, false);
		setTarget(1);
		advance(fetchMillis);
		this.all.clear();
		this.rollout.fetchEnded(1, true, this.now);
		reportAnew(0);
		assertThat(this.all.contains(new RolloutEffect.Take(1, 0)), Matchers.equalTo(atOnce));
		assertThat(this.all.contains(new RolloutEffect.Verify(1)), Matchers.equalTo(!atOnce));
	}

	// Two versions are published half a second apart and the second is fetched. The
	// engine may serve only until the first becomes active.
	@Test
	void switchPrecedesTheActivationOfTheOldestPendingVersion() {
		settleOn(1);
		this.rollout.setPosition(0.99);
		setTarget(2);
		advance(500);
		setTarget(3);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Fetch(3)));
		advance(5500);
		this.rollout.fetchEnded(3, true, this.now);
		advance(50);
		long closes = this.rollout.lastStatus().orElseThrow().status().switchStartNanos().orElseThrow() - this.now;
		assertThat((double) closes / MILLI, Matchers.closeTo(720 - 50, 60));
	}

	// Fetches take most of the time until activation. If all engines abandoned them for
	// a newer version, none would have either version in time.
	@ParameterizedTest
	@CsvSource({ "3000,0.3,false", "3000,0.5,false", "300,0.05,true", "1000,0.45,true" })
	void fetchIsAbandonedOnlyWhileThereIsTimeForAnother(long elapsedMillis, double share, boolean abandoned) {
		settleOn(1);
		setTarget(2);
		advance(elapsedMillis);
		this.rollout.fetchProgressed(share, this.now);
		this.all.clear();
		setTarget(3);
		assertThat(this.all.contains(new RolloutEffect.Abandon(2)), Matchers.equalTo(abandoned));
	}

	@Test
	void idleRolloutIsScheduledOnlyToReadTheReport() {
		settleOn(1);
		runScheduled(2000, 1);
		this.all.clear();
		int ticks = runScheduled(10_000, 1);
		assertThat(ticks, Matchers.lessThanOrEqualTo(10));
		assertThat(this.all, Matchers.everyItem(Matchers.is(new RolloutEffect.ReadReport())));
		assertThat(this.all, Matchers.hasSize(ticks));
	}

	// A new target version after a long idle time brings the next tick forward, and the
	// announced time of the switch is kept to the millisecond: verification ahead of it,
	// then closed, then the order.
	@ParameterizedTest
	@CsvSource({ "0", "0.5", "0.99" })
	void switchIsOnTimeWhenTickedOnlyAsScheduled(double position) {
		settleOn(1);
		this.rollout.setPosition(position);
		runScheduled(5000, 1);
		setTarget(2);
		assertThat((this.rollout.nextNanos(this.now) - this.now) / MILLI, Matchers.lessThanOrEqualTo(150L));
		runScheduled(1500, 1);
		this.rollout.fetchEnded(2, true, this.now);
		long switchNanos = this.rollout.lastStatus().orElseThrow().status().switchStartNanos().orElseThrow();
		this.all.clear();
		runScheduled((switchNanos - this.now) / MILLI - 401, 1);
		assertThat(this.all, Matchers.not(Matchers.hasItem(new RolloutEffect.Verify(2))));
		runScheduled(4, 1);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Verify(2)));
		this.rollout.verificationEnded(2, true, this.now);
		runScheduled((switchNanos - this.now) / MILLI - 1, 1);
		assertThat(this.rollout.lastStatus().orElseThrow().status().switching(), Matchers.is(false));
		runScheduled(4, 1);
		assertThat(this.rollout.lastStatus().orElseThrow().status().switching(), Matchers.is(true));
		runScheduled(80, 1);
		assertThat(this.all, Matchers.hasItem(Matchers.instanceOf(RolloutEffect.Take.class)));
	}

	// The engine does not answer a read; it is repeated after the timeout and not
	// before.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void unansweredReadIsRepeated(boolean idle) {
		settleOn(1);
		runScheduled(2000, 1);
		if (!idle) {
			setTarget(2);
		}
		while (!this.rollout.drain().contains(new RolloutEffect.ReadReport())) {
			this.now = next();
			this.rollout.tick(this.now);
		}
		long read = this.now;
		int ticks = 0;
		do {
			ticks++;
			this.now = next();
			this.rollout.tick(this.now);
		}
		while (!this.rollout.drain().contains(new RolloutEffect.ReadReport()));
		assertThat((this.now - read) / MILLI, Matchers.allOf(Matchers.greaterThan(1400L), Matchers.lessThan(1600L)));
		assertThat(ticks, Matchers.lessThan(5));
	}

	@Test
	void failedFetchIsRepeatedWhenTickedOnlyAsScheduled() {
		settleOn(1);
		setTarget(2);
		this.rollout.fetchEnded(2, false, this.now);
		this.all.clear();
		runScheduled(500, 1);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Fetch(2)));
	}

}
