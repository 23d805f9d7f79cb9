package org.wisteriapost.policy.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.fleet.RunnerIncarnation;

import static org.hamcrest.MatcherAssert.assertThat;

class SupersededFetchTests {

	private static final long MILLI = 1_000_000;

	private final Rollout rollout = Rollout.create(Duration.ofSeconds(8));

	private final List<RolloutEffect> effects = new ArrayList<>();

	private long now = 100_000 * MILLI;

	// The origin is unreachable while the first of two versions is fetched. Finished
	// after its return, the first would delay the second until seconds after it is
	// required, and no engine could be sent a request meanwhile.
	@ParameterizedTest
	@CsvSource({ "0.55,400,false", "0.55,3000,true", "0.9,3000,false" })
	void supersededFetchIsAbandonedAfterALongStall(double share, long stallMillis, boolean abandoned) {
		start();
		setTarget(2);
		fetch(share);
		setTarget(3);
		stall(stallMillis, share);
		progress(share + 0.01);
		assertThat(this.effects.contains(new RolloutEffect.Abandon(2)), Matchers.equalTo(abandoned));
		assertThat(this.effects.contains(new RolloutEffect.Fetch(3)), Matchers.equalTo(abandoned));
	}

	// The origin fails again and again while versions are published. If every fetch were
	// abandoned, engines would never get any version.
	@Test
	void onlyOneFetchInARowIsAbandonedAfterAStall() {
		supersededFetchIsAbandonedAfterALongStall(0.55, 3000, true);
		fetch(0.55);
		setTarget(4);
		stall(3000, 0.55);
		progress(0.56);
		assertThat(this.effects, Matchers.not(Matchers.hasItem(new RolloutEffect.Abandon(3))));
	}

	// Agents hold different shares of the chunks when the origin fails. If some abandoned
	// the fetch and others did not, neither version would be spread in time.
	@ParameterizedTest
	@CsvSource({ "0.40,0.60,true", "0.85,0.98,false" })
	void agentsWithDifferentSharesChooseAlike(double least, double most, boolean abandoned) {
		for (int agent = 0; agent < 40; agent++) {
			FetchProgress progress = new FetchProgress();
			progress.started(0);
			double share = least + (most - least) * agent / 39;
			progress.update(share, 2500 * MILLI);
			boolean better = SupersededFetch
				.of(progress, 0, 2000 * MILLI, Duration.ofMillis(13_400), abandoned ? 8500 * MILLI : 7000 * MILLI)
				.betterAbandoned();
			assertThat(better, Matchers.equalTo(abandoned));
		}
	}

	// The origin is unreachable while most chunks have been fetched. Each change of the
	// announced switch is a message to every entry.
	@Test
	void stalledFetchAnnouncesNoLaterSwitch() {
		start();
		setTarget(2);
		fetch(0.6);
		this.effects.clear();
		stall(3000, 0.6);
		assertThat(this.effects,
				Matchers.not(Matchers.hasItem(Matchers.instanceOf(RolloutEffect.PublishStatus.class))));
	}

	private void start() {
		this.rollout.reportReceived(OptionalInt.of(1), false, 0, RunnerIncarnation.UNKNOWN, this.now);
		setTarget(1);
		this.rollout.fetchEnded(1, true, this.now);
		this.rollout.tick(this.now);
	}

	private void setTarget(int version) {
		this.rollout.setTarget(version, this.now);
		this.effects.addAll(this.rollout.drain());
	}

	private void fetch(double share) {
		for (int step = 1; step <= 20; step++) {
			this.now += 100 * MILLI;
			progress(share * step / 20);
		}
	}

	private void stall(long millis, double share) {
		for (long waited = 0; waited < millis; waited += 100) {
			this.now += 100 * MILLI;
			progress(share);
		}
	}

	private void progress(double share) {
		this.rollout.fetchProgressed(share, this.now);
		this.rollout.tick(this.now);
		this.effects.addAll(this.rollout.drain());
	}

}
