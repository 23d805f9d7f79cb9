package org.wisteriapost.entry;

import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.wisteriapost.entry.process.EntryProcess;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.wire.BundleRequest;
import org.wisteriapost.protocol.wire.Frame;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class HeadSpreadTests {

	private static final Bundle SECOND = EntryBench.bundle("2", "bb");

	private static final String SECOND_DIGEST = SECOND.weightsDigest(SECOND.services().getFirst());

	@AutoClose
	private final EntryBench bench = EntryBench.start();

	@Test
	void newHeadReachesAgentsConfirmedAndTheBundleOnRequest() {
		this.bench.roll(2, SECOND);
		EntryBench.await(() -> this.bench.model()
			.others()
			.stream()
			.anyMatch((frame) -> frame.hasHead() && frame.getHead().getGeneration() == 2
					&& frame.getHead().getConfirmed()));
		byte[] bytes = BundleCodec.encode(SECOND);
		this.bench.model()
			.sends(Frame.newBuilder()
				.setGeneration(1)
				.setBundleRequest(BundleRequest.newBuilder().setDigest(Digests.sha256(bytes)))
				.build());
		EntryBench.await(() -> this.bench.model()
			.others()
			.stream()
			.anyMatch((frame) -> frame.hasBundleReply()
					&& Digests.sha256(frame.getBundleReply().getBundle().toByteArray()).equals(Digests.sha256(bytes))));
	}

	// The old weights answer until their runner has switched. Once all have, a runner
	// that comes back with the old ones gets no call.
	@Test
	void oldWeightsAreUsedUntilTheSwitchAndNeverAfterIt() {
		this.bench.roll(2, SECOND);
		EntryBench.await(() -> this.bench.entry().view().generation() == 2);
		assertThat(this.bench.chat("x", false).join().status(), is(200));
		var old = this.bench.model().report();
		this.bench.model().reports(old.toBuilder().setBundleGeneration(2).setWeightsDigest(SECOND_DIGEST).build());
		EntryBench.await(() -> SECOND_DIGEST
			.equals(this.bench.chat("x", false).join().header("Wisteriapost-Weights").orElse("")));
		this.bench.model().reports(old);
		EntryBench.await(() -> this.bench.chat("x", false, "Wisteriapost-Deadline-Ms", "300").join().status() != 200);
	}

	// The platform is put back from an old copy, and its head goes from 2 to 1. The entry
	// has seen 2 and stays there.
	@Test
	void headThatGoesBackIsIgnored() {
		this.bench.roll(2, SECOND);
		EntryBench.await(() -> this.bench.entry().view().generation() == 2);
		this.bench.roll(1, EntryBench.FIRST);
		this.bench.platform().put("leaving/zz", new byte[] { 1 }, new Platform.Expected.Anything()).join();
		EntryBench.await(() -> this.bench.model().others().stream().filter(Frame::hasHead).count() >= 4);
		assertThat(this.bench.entry().view().generation(), is(2L));
		assertThat(this.bench.entry().invariants().violations().isEmpty(), is(true));
	}

	// One entry is cut off from the platform when a bundle is rolled. It learns the head
	// and the bundle from its neighbour, and says that nobody confirmed it to itself.
	@Test
	void entryThatIsCutOffLearnsTheHeadFromItsNeighbour() {
		WaitingPlatform cutOff = new WaitingPlatform();
		cutOff.down(true);
		try (EntryProcess other = this.bench.another("n2", cutOff)) {
			this.bench.vms().add(this.bench.listed("n2", other, false));
			EntryBench.await(() -> other.view().generation() == 1);
			this.bench.roll(2, SECOND);
			EntryBench.await(() -> other.view().generation() == 2);
		}
		cutOff.close();
	}

}
