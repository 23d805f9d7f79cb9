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

class HeadDistributionTests {

	private static final Bundle SECOND = EntryFixture.bundle("2", "bb");

	private static final String SECOND_DIGEST = SECOND.weightsDigest(SECOND.services().getFirst());

	@AutoClose
	private final EntryFixture fixture = EntryFixture.start();

	@Test
	void agentsReceiveAConfirmedHeadAndTheBundleOnRequest() {
		this.fixture.roll(2, SECOND);
		EntryFixture.await(() -> this.fixture.model()
			.otherFrames()
			.stream()
			.anyMatch((frame) -> frame.hasHead() && frame.getHead().getGeneration() == 2
					&& frame.getHead().getConfirmed()));
		byte[] bytes = BundleCodec.encode(SECOND);
		this.fixture.model()
			.sendToAll(Frame.newBuilder()
				.setGeneration(1)
				.setBundleRequest(BundleRequest.newBuilder().setDigest(Digests.sha256(bytes)))
				.build());
		EntryFixture.await(() -> this.fixture.model()
			.otherFrames()
			.stream()
			.anyMatch((frame) -> frame.hasBundleReply()
					&& Digests.sha256(frame.getBundleReply().getBundle().toByteArray()).equals(Digests.sha256(bytes))));
	}

	// Once all runners have switched, a runner that returns with the old weights gets no
	// calls.
	@Test
	void previousWeightsAreAcceptedOnlyUntilAllRunnersHaveSwitched() {
		this.fixture.roll(2, SECOND);
		EntryFixture.await(() -> this.fixture.entry().view().generation() == 2);
		assertThat(this.fixture.chat("x", false).join().status(), is(200));
		var old = this.fixture.model().report();
		this.fixture.model()
			.sendReports(old.toBuilder().setBundleGeneration(2).setWeightsDigest(SECOND_DIGEST).build());
		EntryFixture.await(() -> SECOND_DIGEST
			.equals(this.fixture.chat("x", false).join().header("Wisteriapost-Weights").orElse("")));
		this.fixture.model().sendReports(old);
		EntryFixture
			.await(() -> this.fixture.chat("x", false, "Wisteriapost-Deadline-Ms", "300").join().status() != 200);
	}

	// The platform is restored from a backup, and its head goes back from generation 2 to
	// 1.
	@Test
	void headWithALowerGenerationIsIgnored() {
		this.fixture.roll(2, SECOND);
		EntryFixture.await(() -> this.fixture.entry().view().generation() == 2);
		this.fixture.roll(1, EntryFixture.FIRST);
		this.fixture.platform().put("leaving/zz", new byte[] { 1 }, new Platform.Precondition.Anything()).join();
		EntryFixture.await(() -> this.fixture.model().otherFrames().stream().filter(Frame::hasHead).count() >= 4);
		assertThat(this.fixture.entry().view().generation(), is(2L));
		assertThat(this.fixture.entry().invariants().violations().isEmpty(), is(true));
	}

	// An entry that cannot reach the platform receives the head and the bundle from a
	// peer.
	@Test
	void entryWithoutThePlatformReceivesTheHeadFromAPeer() {
		LongPollingPlatform cutOff = new LongPollingPlatform();
		cutOff.down(true);
		try (EntryProcess other = this.fixture.startEntry("n2", cutOff)) {
			this.fixture.vms().add(this.fixture.vmListEntry("n2", other, false));
			EntryFixture.await(() -> other.view().generation() == 1);
			this.fixture.roll(2, SECOND);
			EntryFixture.await(() -> other.view().generation() == 2);
		}
		cutOff.close();
	}

}
