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
	void rollOntoTheGenerationInForceWins() {
		assertThat(this.store.roll(MINE), is(MINE));
		assertThat(this.store.roll(head(2, "mine")), is(head(2, "mine")));
		assertThat(this.store.history(), contains(MINE, head(2, "mine")));
	}

	@Test
	void rollOntoAnOlderGenerationIsToldWhatWon() {
		this.store.roll(head(1, "other"));
		assertThat(this.store.roll(MINE), is(head(1, "other")));
	}

	// The operator sees that another roll won. Both had read generation 0; the other's
	// conditional update came first; ours expects a version that is gone, so it changes
	// nothing.
	@Test
	void ofTwoRollsInARaceExactlyOneWins() {
		BundleStore other = new BundleStore(this.platform);
		this.platform.beforeCall(2, () -> other.roll(head(1, "other")));
		assertThat(this.store.roll(MINE), is(head(1, "other")));
		assertThat(this.store.history(), contains(head(1, "other")));
	}

	static Stream<Arguments> lostConfirmations() {
		return Stream.of(Arguments.of("the write had taken effect", Fault.LOST_AFTER),
				Arguments.of("the write had no effect and is sent again", Fault.LOST_BEFORE));
	}

	// The operator sees the roll succeed. The confirmation of the head's write is lost;
	// reading back shows our own nonce, or that nothing was written and the same
	// conditional update may be sent again.
	@ParameterizedTest(name = "{0}")
	@MethodSource("lostConfirmations")
	void lostConfirmationIsResolvedByReadingBack(String name, Fault fault) {
		this.platform.next(Fault.NONE, fault, Fault.DOWN);
		assertThat(this.store.roll(MINE), is(MINE));
		assertThat(this.store.head(), is(MINE));
	}

	// The operator is told that the roll won, although another has rolled over it since.
	// The write took effect, its confirmation was lost, and before the read back another
	// operator moved the head on; the record of our generation still shows our nonce.
	@Test
	void lostConfirmationOfARollThatWasRolledOverIsStillWon() {
		this.platform.next(Fault.NONE, Fault.LOST_AFTER);
		BundleStore other = new BundleStore(this.platform);
		this.platform.beforeCall(3, () -> other.roll(head(2, "other")));
		assertThat(this.store.roll(MINE), is(MINE));
		assertThat(this.store.history(), contains(MINE, head(2, "other")));
	}

	@ParameterizedTest
	@EnumSource(names = { "LOST_AFTER", "LOST_BEFORE" })
	void approvalWithALostConfirmationStandsOnce(Fault fault) {
		this.platform.next(fault);
		this.store.approve("d", "aminata", new byte[] { 1 });
		this.store.approve("d", "aminata", new byte[] { 1 });
		assertThat(this.store.approvals("d").size(), is(1));
	}

	@Test
	void secondSignatureOfAnOperatorIsRefused() {
		this.store.approve("d", "aminata", new byte[] { 1 });
		CodedException ex = assertThrows(CodedException.class,
				() -> this.store.approve("d", "aminata", new byte[] { 2 }));
		assertThat(ex.code().name(), is("approval-conflict"));
	}

	static Stream<Arguments> steps() {
		return Stream.of(0, 1).map(Arguments::of);
	}

	// The operator sees the command fail with the platform's code, and nothing is in
	// force.
	// The platform is down at one step of the roll; no later step is tried.
	@ParameterizedTest
	@MethodSource("steps")
	void platformDownAtAnyStepOfARollChangesNothing(int step) {
		this.platform.next(Stream.concat(Stream.generate(() -> Fault.NONE).limit(step), Stream.of(Fault.DOWN))
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
