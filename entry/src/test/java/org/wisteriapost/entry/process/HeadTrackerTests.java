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

	// Two rolls within seconds: the runners have fetched neither version and still serve
	// the one before. Their answers must be accepted meanwhile.
	@Test
	void weightsOfTwoRollsAgoAreAcceptedUntilNoRunnerServesThem() {
		String first = roll(1, "a");
		String second = roll(2, "b");
		String third = roll(3, "c");
		assertThat(this.heads.acceptedDigests().get("lm"), is(Set.of(first, second, third)));
		this.heads.stopAccepting("lm", first);
		assertThat(this.heads.acceptedDigests().get("lm"), is(Set.of(second, third)));
		this.heads.stopAccepting("lm", second);
		assertThat(this.heads.previousDigests(), is(Map.of()));
	}

	// An entry that starts during a roll does not know the previous bundle, which every
	// runner still serves.
	@Test
	void runnerOfAnUnknownPredecessorIsAccepted() {
		String current = roll(7, "b");
		assertThat(this.heads.acceptServed("lm", "older"), is(true));
		assertThat(this.heads.acceptServed("lm", "older"), is(false));
		assertThat(this.heads.acceptedDigests().get("lm"), is(Set.of(current, "older")));
	}

	// After all runners have switched, one returns with the old weights, for example an
	// engine that was started by an agent that had been paused.
	@Test
	void olderWeightsAreNotAcceptedOnceAllHaveSwitched() {
		String first = roll(1, "a");
		roll(2, "b");
		this.heads.stopAccepting("lm", first);
		assertThat(this.heads.acceptServed("lm", first), is(false));
	}

	@Test
	void restartedEntryWaitsForReportsBeforeItEndsTheSwitch() {
		roll(7, "b");
		this.heads.allSwitched("lm", 1);
		assertThat(this.heads.acceptServed("lm", "older"), is(true));
		this.heads.stopAccepting("lm", "older");
		assertThat(this.heads.acceptServed("lm", "older"), is(false));
	}

	@Test
	void emptyDigestsAndUnknownServicesAreNotAccepted() {
		roll(1, "a");
		assertThat(this.heads.acceptServed("other", "digest"), is(false));
		assertThat(this.heads.acceptServed("lm", ""), is(false));
	}

	@Test
	void bundleWithTheSameWeightsHasNoPredecessor() {
		roll(1, "a");
		roll(2, "a");
		assertThat(this.heads.previousDigests(), is(Map.of()));
	}

	@Test
	void lowerGenerationAndOtherContentAreIgnored() {
		roll(2, "b");
		assertThat(this.heads.headReceived(1, "digest", true, 0), is(false));
		this.heads.headReceived(3, "digest", true, 0);
		assertThat(this.heads.activate(new BundleContent("digest", new byte[1], Map.of()), 0), is(false));
		assertThat(this.heads.generation(), is(2L));
	}

	// The bundle arrives from a peer 30 s after its head was read from the platform,
	// which is unreachable since. If it counted as confirmed on arrival, requests for a
	// model of a newer bundle would be rejected for good.
	@Test
	void aBundleIsConfirmedAsOfWhenItsHeadWasRead() {
		byte[] content = BundleCodec.encode(bundle(1, "a"));
		String digest = Digests.sha256(content);
		this.heads.headReceived(1, digest, true, 0);
		this.heads.activate(new BundleContent(digest, content, Map.of()), 30 * SECOND);
		assertThat(this.heads.generation(), is(1L));
		assertThat(mayReject(30 * SECOND), is(false));
		assertThat(this.heads.toWire(30 * SECOND).getConfirmedAgeMillis(), is(30_000L));
		this.heads.headReceived(1, digest, true, 31 * SECOND);
		assertThat(mayReject(31 * SECOND), is(true));
	}

	@Test
	void aBundleThatArrivesSoonAfterItsHeadAllowsRejections() {
		byte[] content = BundleCodec.encode(bundle(1, "a"));
		String digest = Digests.sha256(content);
		this.heads.headReceived(1, digest, true, 0);
		this.heads.activate(new BundleContent(digest, content, Map.of()), SECOND);
		assertThat(mayReject(SECOND), is(true));
		assertThat(mayReject(8 * SECOND), is(false));
	}

	// Agents rely on heads that the platform has confirmed. Its confirmation of the
	// previous head does not apply to this one.
	@Test
	void aHeadKnownOnlyFromAPeerIsNotSentAsConfirmed() {
		roll(1, "a");
		byte[] content = BundleCodec.encode(bundle(2, "b"));
		String digest = Digests.sha256(content);
		this.heads.headReceived(2, digest, false, SECOND);
		this.heads.activate(new BundleContent(digest, content, Map.of()), SECOND);
		assertThat(this.heads.toWire(SECOND).getConfirmed(), is(false));
		this.heads.headReceived(2, digest, true, 2 * SECOND);
		assertThat(this.heads.toWire(3 * SECOND).getConfirmed(), is(true));
		assertThat(this.heads.toWire(3 * SECOND).getConfirmedAgeMillis(), is(1000L));
	}

	// The confirmed age would lack the time for which the VM was suspended.
	@Test
	void aHeadConfirmedBeforeASuspensionIsNotSentAsConfirmed() {
		roll(1, "a");
		this.heads.suspended(SECOND);
		assertThat(this.heads.toWire(SECOND).getConfirmed(), is(false));
	}

	private boolean mayReject(long nowNanos) {
		return this.heads.rejectionPermit(nowNanos, 0).allows(nowNanos, 0);
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
		this.heads.headReceived(generation, digest, true, 0);
		assertThat(this.heads.activate(new BundleContent(digest, content, Map.of()), 0), is(true));
		return bundle.weightsDigest(lm(model));
	}

}
