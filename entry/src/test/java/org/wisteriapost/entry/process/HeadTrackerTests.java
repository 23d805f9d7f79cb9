package org.wisteriapost.entry.process;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.entry.platform.BundleContent;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.ServiceSpec;
import org.wisteriapost.policy.bundle.WeightFile;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class HeadTrackerTests {

	private static final long SECOND = 1_000_000_000;

	private final Invariants invariants = Invariants.create();

	private final HeadTracker heads = new HeadTracker(this.invariants);

	@AfterEach
	void invariantsHeld() {
		assertThat(this.invariants.violations(), is(Map.of()));
	}

	// Callers are answered throughout. Operators roll twice within seconds; the runners
	// have fetched neither version and still serve what was in force before both.
	@Test
	void weightsOfTwoRollsAgoAreAcceptedUntilNobodyServesThem() {
		String first = roll(1, "a");
		String second = roll(2, "b");
		String third = roll(3, "c");
		assertThat(this.heads.digests().get("lm"), is(Set.of(first, second, third)));
		this.heads.switched("lm", first);
		assertThat(this.heads.digests().get("lm"), is(Set.of(second, third)));
		this.heads.switched("lm", second);
		assertThat(this.heads.previous(), is(Map.of()));
	}

	// An entry is replaced in the middle of a roll. It has never heard of the bundle
	// before, and every runner still serves that one.
	@Test
	void runnerOfAnUnknownPredecessorIsAccepted() {
		String current = roll(7, "b");
		assertThat(this.heads.alsoServed("lm", "older"), is(true));
		assertThat(this.heads.alsoServed("lm", "older"), is(false));
		assertThat(this.heads.digests().get("lm"), is(Set.of(current, "older")));
	}

	// All runners have switched; one comes back with the weights of before, for example
	// an engine that a paused agent has ordered. It gets no calls.
	@Test
	void olderWeightsAreNotAcceptedOnceAllHaveSwitched() {
		String first = roll(1, "a");
		roll(2, "b");
		this.heads.switched("lm", first);
		assertThat(this.heads.alsoServed("lm", first), is(false));
	}

	@Test
	void entryThatHasJustStartedWaitsForReportsBeforeItTakesTheRollForDone() {
		roll(7, "b");
		this.heads.allSwitched("lm", 1);
		assertThat(this.heads.alsoServed("lm", "older"), is(true));
		this.heads.switched("lm", "older");
		assertThat(this.heads.alsoServed("lm", "older"), is(false));
	}

	@Test
	void weightsOfNoServiceOrNoneAreNotAccepted() {
		roll(1, "a");
		assertThat(this.heads.alsoServed("other", "digest"), is(false));
		assertThat(this.heads.alsoServed("lm", ""), is(false));
	}

	@Test
	void bundleWithTheSameWeightsHasNoPredecessor() {
		roll(1, "a");
		roll(2, "a");
		assertThat(this.heads.previous(), is(Map.of()));
	}

	@Test
	void lowerGenerationAndOtherContentAreIgnored() {
		roll(2, "b");
		assertThat(this.heads.learn(1, "digest", true, 0), is(false));
		this.heads.learn(3, "digest", true, 0);
		assertThat(this.heads.take(new BundleContent("digest", new byte[1], Map.of()), 0), is(false));
		assertThat(this.heads.generation(), is(2L));
	}

	// The platform names a head and is cut off. Its bundle comes from a neighbour half a
	// minute later; operators have rolled a newer one meanwhile. Were the bundle taken
	// for the newest as of its coming, callers would be told for good that there is no
	// such model.
	@Test
	void aBundleIsTheNewestAsOfWhenItsHeadWasNamed() {
		byte[] content = BundleCodec.encode(bundle(1, "a"));
		String digest = Digests.sha256(content);
		this.heads.learn(1, digest, true, 0);
		this.heads.take(new BundleContent(digest, content, Map.of()), 30 * SECOND);
		assertThat(this.heads.generation(), is(1L));
		assertThat(mayReject(30 * SECOND), is(false));
		assertThat(this.heads.wire(30 * SECOND).getConfirmedAgeMillis(), is(30_000L));
		this.heads.learn(1, digest, true, 31 * SECOND);
		assertThat(mayReject(31 * SECOND), is(true));
	}

	@Test
	void aBundleThatComesSoonIsEnoughToReject() {
		byte[] content = BundleCodec.encode(bundle(1, "a"));
		String digest = Digests.sha256(content);
		this.heads.learn(1, digest, true, 0);
		this.heads.take(new BundleContent(digest, content, Map.of()), SECOND);
		assertThat(mayReject(SECOND), is(true));
		assertThat(mayReject(8 * SECOND), is(false));
	}

	// An agent that starts relies on a head that the platform is said to have confirmed.
	// That it confirmed the one before says nothing of this one.
	@Test
	void aHeadThatOnlyANeighbourHasNamedIsNotSaidToBeConfirmed() {
		roll(1, "a");
		byte[] content = BundleCodec.encode(bundle(2, "b"));
		String digest = Digests.sha256(content);
		this.heads.learn(2, digest, false, SECOND);
		this.heads.take(new BundleContent(digest, content, Map.of()), SECOND);
		assertThat(this.heads.wire(SECOND).getConfirmed(), is(false));
		this.heads.learn(2, digest, true, 2 * SECOND);
		assertThat(this.heads.wire(3 * SECOND).getConfirmed(), is(true));
		assertThat(this.heads.wire(3 * SECOND).getConfirmedAgeMillis(), is(1000L));
	}

	// The age would be too low by as long as the VM was suspended.
	@Test
	void aHeadConfirmedBeforeASuspensionIsNotSaidToBeConfirmed() {
		roll(1, "a");
		this.heads.suspended(SECOND);
		assertThat(this.heads.wire(SECOND).getConfirmed(), is(false));
	}

	private boolean mayReject(long nowNanos) {
		return this.heads.rejections(nowNanos, 0).allows(nowNanos, 0);
	}

	private static Bundle bundle(long generation, String model) {
		WeightFile file = new WeightFile(model, "1", model, "1", 5, 5, List.of(Digests.sha256(model)));
		return new Bundle("b" + generation, "1", List.of(lm(model)), List.of(file));
	}

	private static ServiceSpec lm(String model) {
		return new ServiceSpec("lm", ServiceSpec.Kind.MODEL, model, List.of(), List.of("p"), List.of(), 1);
	}

	private String roll(long generation, String model) {
		Bundle bundle = bundle(generation, model);
		byte[] content = BundleCodec.encode(bundle);
		String digest = Digests.sha256(content);
		this.heads.learn(generation, digest, true, 0);
		assertThat(this.heads.take(new BundleContent(digest, content, Map.of()), 0), is(true));
		return bundle.weightsDigest(lm(model));
	}

}
