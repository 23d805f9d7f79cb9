package org.wisteriapost.operator.bundle;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.protocol.outside.FakePlatform;
import org.wisteriapost.protocol.outside.FakePlatform.Fault;
import org.wisteriapost.protocol.outside.Platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class BundleStoreTests {

	private static final Head MINE = head(1, "mine");

	private final FakePlatform platform = new FakePlatform();

	private final BundleStore store = new BundleStore(this.platform);

	@Test
	void rollOntoActiveGenerationSucceeds() {
		assertThat(this.store.roll(MINE), is(MINE));
		assertThat(this.store.roll(head(2, "mine")), is(head(2, "mine")));
		assertThat(this.store.history(), contains(MINE, head(2, "mine")));
	}

	@Test
	void rollOntoStaleGenerationReturnsActiveHead() {
		this.store.roll(head(1, "other"));
		assertThat(this.store.roll(MINE), is(head(1, "other")));
	}

	// Both rolls read generation 0. The later conditional update expects a version
	// that no longer exists, so it must fail and return the head of the other roll.
	@Test
	void exactlyOneOfTwoConcurrentRollsWins() {
		BundleStore other = new BundleStore(this.platform);
		this.platform.beforeCall(2, () -> other.roll(head(1, "other")));
		assertThat(this.store.roll(MINE), is(head(1, "other")));
		assertThat(this.store.history(), contains(head(1, "other")));
	}

	static Stream<Arguments> lostConfirmations() {
		return Stream.of(Arguments.of("write took effect", Fault.LOST_AFTER),
				Arguments.of("write had no effect and is repeated", Fault.LOST_BEFORE));
	}

	// If the confirmation of the head's write is lost, reading back must find our
	// own nonce, or find that nothing was written, so that the conditional update
	// can be repeated.
	@ParameterizedTest(name = "{0}")
	@MethodSource("lostConfirmations")
	void lostConfirmationIsResolvedByReadingBack(String name, Fault fault) {
		this.platform.failNextCalls(Fault.NONE, fault, Fault.DOWN);
		assertThat(this.store.roll(MINE), is(MINE));
		assertThat(this.store.head(), is(MINE));
	}

	// The write took effect, but its confirmation was lost and another roll
	// replaced the head before the read-back. The record of our generation must
	// still identify us as the winner.
	@Test
	void rollWithLostConfirmationSucceedsAfterALaterRoll() {
		this.platform.failNextCalls(Fault.NONE, Fault.LOST_AFTER);
		BundleStore other = new BundleStore(this.platform);
		this.platform.beforeCall(3, () -> other.roll(head(2, "other")));
		assertThat(this.store.roll(MINE), is(MINE));
		assertThat(this.store.history(), contains(MINE, head(2, "other")));
	}

	@ParameterizedTest
	@EnumSource(names = { "LOST_AFTER", "LOST_BEFORE" })
	void approvalWithLostConfirmationIsStoredOnce(Fault fault) {
		this.platform.failNextCalls(fault);
		this.store.approve("d", "aminata", new byte[] { 1 });
		this.store.approve("d", "aminata", new byte[] { 1 });
		assertThat(this.store.approvals("d").size(), is(1));
	}

	@Test
	void conflictingApprovalBySameOperatorIsRejected() {
		this.store.approve("d", "aminata", new byte[] { 1 });
		CodedException ex = assertThrows(CodedException.class,
				() -> this.store.approve("d", "aminata", new byte[] { 2 }));
		assertThat(ex.code().name(), is("approval-conflict"));
	}

	static Stream<Arguments> steps() {
		return Stream.of(0, 1).map(Arguments::of);
	}

	// If the platform is unavailable at one step of a roll, the command fails with
	// the platform's code, later steps are not executed and no head becomes active.
	@ParameterizedTest
	@MethodSource("steps")
	void rollWithPlatformUnavailableChangesNothing(int step) {
		this.platform.failNextCalls(Stream.concat(Stream.generate(() -> Fault.NONE).limit(step), Stream.of(Fault.DOWN))
			.toArray(Fault[]::new));
		CodedException ex = assertThrows(CodedException.class, () -> this.store.roll(MINE));
		assertThat(ex.code(), is(Platform.UNAVAILABLE));
		assertThat(this.store.head(), is(Head.NONE));
		assertThat(this.store.history(), is(List.of()));
	}

	private static Head head(long generation, String author) {
		return new Head(generation, "digest", author, 0, author + generation);
	}

}
