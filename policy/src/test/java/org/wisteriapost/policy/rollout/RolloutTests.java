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
import org.wisteriapost.policy.fleet.RunnerStart;

import static org.hamcrest.MatcherAssert.assertThat;

class RolloutTests {

	private static final long MILLI = 1_000_000;

	private final Rollout rollout = Rollout.create(Duration.ofSeconds(8));

	private final List<RolloutEffect> all = new ArrayList<>();

	private long now = 100_000 * MILLI;

	private void engine(int version, boolean busy) {
		this.rollout.reported((version > 0) ? OptionalInt.of(version) : OptionalInt.empty(), busy, 0,
				RunnerStart.UNKNOWN, this.now);
		this.all.addAll(this.rollout.drain());
	}

	private void after(long millis) {
		for (long done = 0; done < millis; done += 50) {
			this.now += 50 * MILLI;
			this.rollout.tick(this.now);
		}
		this.all.addAll(this.rollout.drain());
	}

	// Time goes on from one moment that the rollout names to the next; the engine answers
	// each read at once. Returns how many moments there were.
	private int moments(long millis, int version) {
		long end = this.now + millis * MILLI;
		int moments = 0;
		for (long next = next(); next <= end; next = next()) {
			this.now = next;
			moments++;
			this.rollout.tick(this.now);
			List<RolloutEffect> effects = this.rollout.drain();
			this.all.addAll(effects);
			if (effects.contains(new RolloutEffect.ReadReport())) {
				engine(version, false);
			}
		}
		this.now = end;
		return moments;
	}

	private long next() {
		return Math.max(this.now, this.rollout.nextNanos(this.now)) + MILLI;
	}

	private void settled(int version) {
		engine(version, false);
		named(version);
		this.rollout.fetched(version, true, this.now);
		after(50);
		this.all.clear();
	}

	private void named(int version) {
		this.rollout.named(version, this.now);
		this.all.addAll(this.rollout.drain());
	}

	@Test
	void fetchesTellsChecksAndOrdersInThisOrder() {
		engine(1, false);
		named(2);
		this.rollout.fetched(2, true, this.now);
		after(100);
		this.rollout.verified(2, true, this.now);
		after(500);
		this.rollout.ordered(true, this.now);
		engine(1, true);
		engine(2, false);
		this.all.addAll(this.rollout.drain());
		List<String> steps = this.all.stream()
			.filter((effect) -> !(effect instanceof RolloutEffect.ReadReport))
			.map((effect) -> switch (effect) {
				case RolloutEffect.Tell tell ->
					"Tell " + tell.word().version().orElse(0) + (tell.word().switching() ? " switching" : "")
							+ (tell.word().closesNanos().isPresent() ? " closes" : "");
				default -> effect.getClass().getSimpleName();
			})
			.toList();
		assertThat(steps,
				Matchers.contains("Tell 1", "Fetch", "Tell 1 closes", "Verify", "Tell 1 switching", "Take", "Tell 2"));
	}

	// A piece went bad in the engine's memory after it was staged. An engine that took it
	// would answer from spoilt weights; the check before the order finds it, and it is
	// fetched again.
	@Test
	void whatWentBadIsFetchedAgainAndNeverOrdered() {
		engine(1, false);
		named(2);
		this.rollout.fetched(2, true, this.now);
		after(5000);
		this.all.clear();
		this.rollout.verified(2, false, this.now);
		after(100);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Fetch(2)));
		assertThat(this.all, Matchers.not(Matchers.hasItem(Matchers.instanceOf(RolloutEffect.Take.class))));
	}

	// A newer version is named during a fetch. Early in it the newer one goes first; late
	// in it the fetch is finished and taken, since beginning anew each time would end
	// with no engine that may answer.
	@ParameterizedTest
	@ValueSource(doubles = { 0.2, 0.8 })
	void aNewerVersionWaitsForAFetchThatIsMostlyDone(double share) {
		engine(1, false);
		named(2);
		this.rollout.fetching(share, this.now);
		this.all.clear();
		named(3);
		boolean abandoned = this.all.contains(new RolloutEffect.Abandon(2));
		assertThat(abandoned, Matchers.equalTo(share < 0.5));
	}

	// All engines have a version at the same moment. Were all to change over then, or
	// each a little after the other, nobody would answer for a second or two. They go
	// in groups: two when little time is left, more when the fetch was quick, the last
	// of them well before the weights must be in force.
	@ParameterizedTest
	@CsvSource({ "4000,0,450", "4000,0.4,450", "4000,0.5,2450", "4000,0.99,2450", "1500,0.3,450", "1500,0.4,2450",
			"1500,0.99,4450", "6500,0.99,450" })
	void enginesChangeOverInGroups(long fetchMillis, double position, double turnMillis) {
		settled(1);
		this.rollout.turn(position);
		named(2);
		after(fetchMillis);
		this.rollout.fetched(2, true, this.now);
		after(50);
		long closes = this.rollout.latest().orElseThrow().word().closesNanos().orElseThrow() - this.now;
		assertThat((double) closes / MILLI, Matchers.closeTo(turnMillis - 50, 200));
		after(Math.max(50, closes / MILLI - 300));
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Verify(2)));
	}

	// What an engine runs when its turn comes began up to two seconds before, so
	// entries hear of the turn while the pieces are still being fetched; and again
	// only when it has moved, since each time is a message to every entry.
	@Test
	void aTurnIsAnnouncedWhileTheFetchIsUnderWay() {
		settled(1);
		named(2);
		after(2000);
		this.rollout.fetching(0.5, this.now);
		after(50);
		long closes = this.rollout.latest().orElseThrow().word().closesNanos().orElseThrow() - this.now;
		assertThat((double) closes / MILLI, Matchers.closeTo(2400, 120));
		this.all.clear();
		after(400);
		this.rollout.fetching(0.6, this.now);
		after(50);
		assertThat(this.all, Matchers.not(Matchers.hasItem(Matchers.instanceOf(RolloutEffect.Tell.class))));
		after(1000);
		this.rollout.fetching(0.65, this.now);
		after(50);
		assertThat(this.all, Matchers.hasItem(Matchers.instanceOf(RolloutEffect.Tell.class)));
	}

	// A newer version is named while an engine waits for its turn. The turn comes sooner,
	// since the fetch of the newer one can begin only after it.
	@Test
	void aTurnComesSoonerWhenANewerVersionWaitsForIt() {
		settled(1);
		this.rollout.turn(0.99);
		named(2);
		after(3000);
		this.rollout.fetched(2, true, this.now);
		after(50);
		named(3);
		after(50);
		long closes = this.rollout.latest().orElseThrow().word().closesNanos().orElseThrow() - this.now;
		assertThat(closes / MILLI, Matchers.lessThan(1500L));
	}

	// A VM stands still between the check of what is staged and the order. What went bad
	// meanwhile would be taken unseen, so it is checked again.
	@Test
	void anOldCheckIsMadeAgain() {
		settled(1);
		named(2);
		this.rollout.fetched(2, true, this.now);
		after(100);
		this.rollout.verified(2, true, this.now);
		this.all.clear();
		this.now += 4000 * MILLI;
		after(50);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Verify(2)));
		assertThat(this.all, Matchers.not(Matchers.hasItem(Matchers.instanceOf(RolloutEffect.Take.class))));
	}

	@Test
	void theNextFetchBeginsAsSoonAsTheEngineHasTheOrder() {
		settled(1);
		named(2);
		this.rollout.fetched(2, true, this.now);
		named(3);
		after(1000);
		this.rollout.verified(2, true, this.now);
		this.all.clear();
		this.rollout.ordered(true, this.now);
		after(50);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Fetch(3)));
	}

	@Test
	void anEngineWithoutWeightsWaitsForNobody() {
		this.rollout.turn(0.99);
		engine(0, false);
		named(1);
		after(4000);
		this.rollout.fetched(1, true, this.now);
		after(50);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Verify(1)));
	}

	// The engine restarts in the middle: it forgets its weights. It gets them again
	// although the same version was taken before.
	@Test
	void anEngineThatForgotItsWeightsGetsThemAgain() {
		settled(2);
		engine(0, false);
		after(50);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Verify(2)));
	}

	// The engine crashes while it takes weights and starts again with none. Its order is
	// not waited for: it is ordered again as soon as what is staged is checked. A report
	// of the former start that comes late says nothing.
	@ParameterizedTest
	@CsvSource({ "1000,2000,1", "0,0,0" })
	void anOrderDiesWithItsEngine(long firstBorn, long secondBorn, long orders) {
		RunnerStart first = (firstBorn > 0) ? RunnerStart.at(firstBorn) : RunnerStart.UNKNOWN;
		RunnerStart second = (secondBorn > 0) ? RunnerStart.at(secondBorn) : RunnerStart.UNKNOWN;
		this.rollout.reported(OptionalInt.empty(), false, 0, first, this.now);
		named(2);
		this.rollout.fetched(2, true, this.now);
		after(100);
		this.rollout.verified(2, true, this.now);
		this.rollout.ordered(true, this.now);
		this.rollout.reported(OptionalInt.empty(), true, 1, first, this.now);
		this.rollout.drain();
		this.all.clear();
		this.rollout.reported(OptionalInt.empty(), false, orders, second, this.now);
		if (first.before(second)) {
			this.rollout.reported(OptionalInt.of(2), false, 1, first, this.now);
		}
		after(100);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Verify(2)));
	}

	// All engines were killed; what was staged is still there, and the fetch only reads
	// it back. Checked a second time it is ordered a quarter of a second later, while
	// nobody answers. A fetch that took long has pieces that were checked long ago.
	@ParameterizedTest
	@CsvSource({ "300,true", "4000,false" })
	void whatAQuickFetchHasCheckedIsOrderedAtOnce(long fetchMillis, boolean atOnce) {
		engine(0, false);
		named(1);
		after(fetchMillis);
		this.all.clear();
		this.rollout.fetched(1, true, this.now);
		this.all.addAll(this.rollout.drain());
		assertThat(this.all.contains(new RolloutEffect.Take(1, 0)), Matchers.equalTo(atOnce));
		assertThat(this.all.contains(new RolloutEffect.Verify(1)), Matchers.equalTo(!atOnce));
	}

	// Two versions are named half a second apart, and the second is fetched. The engine
	// holds neither: it may answer until the first has to be in force, so its turn comes
	// before that, not before the second has to be.
	@Test
	void aTurnComesBeforeTheOlderOfTwoNamingsBinds() {
		settled(1);
		this.rollout.turn(0.99);
		named(2);
		after(500);
		named(3);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Fetch(3)));
		after(5500);
		this.rollout.fetched(3, true, this.now);
		after(50);
		long closes = this.rollout.latest().orElseThrow().word().closesNanos().orElseThrow() - this.now;
		assertThat((double) closes / MILLI, Matchers.closeTo(720 - 50, 60));
	}

	// Hundreds of engines fetch, which takes most of the time until the weights have to
	// be in force, and a newer version is named when each has a fifth to a half of the
	// first. Were it abandoned then, no engine would have either in time, and nobody
	// would answer: it is finished.
	@ParameterizedTest
	@CsvSource({ "3000,0.3,false", "3000,0.5,false", "300,0.05,true", "1000,0.45,true" })
	void aFetchIsAbandonedOnlyWhileThereIsTimeForAnother(long elapsedMillis, double share, boolean abandoned) {
		settled(1);
		named(2);
		after(elapsedMillis);
		this.rollout.fetching(share, this.now);
		this.all.clear();
		named(3);
		assertThat(this.all.contains(new RolloutEffect.Abandon(2)), Matchers.equalTo(abandoned));
	}

	@Test
	void atRestTimeIsLookedAtOnlyToReadTheReport() {
		settled(1);
		moments(2000, 1);
		this.all.clear();
		int moments = moments(10_000, 1);
		assertThat(moments, Matchers.lessThanOrEqualTo(10));
		assertThat(this.all, Matchers.everyItem(Matchers.is(new RolloutEffect.ReadReport())));
		assertThat(this.all, Matchers.hasSize(moments));
	}

	// New weights are named after a long rest. What was planned at rest is a second away;
	// the moment that is due next is nearer at once, and the turn that entries were told
	// is kept to the millisecond: check ahead of it, then closed, then the order.
	@ParameterizedTest
	@CsvSource({ "0", "0.5", "0.99" })
	void aTurnIsKeptByTheMomentsAlone(double position) {
		settled(1);
		this.rollout.turn(position);
		moments(5000, 1);
		named(2);
		assertThat((this.rollout.nextNanos(this.now) - this.now) / MILLI, Matchers.lessThanOrEqualTo(150L));
		moments(1500, 1);
		this.rollout.fetched(2, true, this.now);
		long turn = this.rollout.latest().orElseThrow().word().closesNanos().orElseThrow();
		this.all.clear();
		moments((turn - this.now) / MILLI - 401, 1);
		assertThat(this.all, Matchers.not(Matchers.hasItem(new RolloutEffect.Verify(2))));
		moments(4, 1);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Verify(2)));
		this.rollout.verified(2, true, this.now);
		moments((turn - this.now) / MILLI - 1, 1);
		assertThat(this.rollout.latest().orElseThrow().word().switching(), Matchers.is(false));
		moments(4, 1);
		assertThat(this.rollout.latest().orElseThrow().word().switching(), Matchers.is(true));
		moments(80, 1);
		assertThat(this.all, Matchers.hasItem(Matchers.instanceOf(RolloutEffect.Take.class)));
	}

	// The engine does not answer a read at all. The read is made again when it counts as
	// lost, without anything being heard in between, and not before.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void aLostReadIsMadeAgain(boolean rest) {
		settled(1);
		moments(2000, 1);
		if (!rest) {
			named(2);
		}
		while (!this.rollout.drain().contains(new RolloutEffect.ReadReport())) {
			this.now = next();
			this.rollout.tick(this.now);
		}
		long read = this.now;
		int moments = 0;
		do {
			moments++;
			this.now = next();
			this.rollout.tick(this.now);
		}
		while (!this.rollout.drain().contains(new RolloutEffect.ReadReport()));
		assertThat((this.now - read) / MILLI, Matchers.allOf(Matchers.greaterThan(1400L), Matchers.lessThan(1600L)));
		assertThat(moments, Matchers.lessThan(5));
	}

	@Test
	void aFetchThatFailedIsMadeAgainByTheMomentsAlone() {
		settled(1);
		named(2);
		this.rollout.fetched(2, false, this.now);
		this.all.clear();
		moments(500, 1);
		assertThat(this.all, Matchers.hasItem(new RolloutEffect.Fetch(2)));
	}

}
