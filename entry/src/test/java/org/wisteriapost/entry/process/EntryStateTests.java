package org.wisteriapost.entry.process;

import java.util.List;
import java.util.Map;
import java.util.Set;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.entry.caller.EntryView;
import org.wisteriapost.entry.claim.ClaimStore;
import org.wisteriapost.entry.platform.BundleContent;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.claim.ClaimTable;
import org.wisteriapost.policy.membership.Member;
import org.wisteriapost.policy.request.RequestPolicySettings;
import org.wisteriapost.policy.request.RequestStateMachine;
import org.wisteriapost.protocol.outside.FakePlatform;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A request for an unknown model is rejected for good only by a recent bundle. Bundles
 * become active within 8 s, so the published view stops rejecting once its bundle has not
 * been confirmed for nine tenths of that.
 */
class EntryStateTests {

	private static final long MILLI = 1_000_000;

	private static final byte[] CONTENT = BundleCodec.encode(new Bundle("b", "1", List.of(), List.of()));

	private static final String DIGEST = Digests.sha256(CONTENT);

	private final RecordingOutput output = new RecordingOutput();

	private long now = 100_000 * MILLI;

	private long wallMillis = 1_000_000;

	private final EntryState state = state();

	@BeforeEach
	void activateBundle() {
		confirm(this.now);
		this.state.apply(new EntryEvent.BundleRead(new BundleContent(DIGEST, CONTENT, Map.of())));
	}

	private EntryState state() {
		Invariants invariants = Invariants.create();
		EntryWiring wiring = new EntryWiring(
				RequestStateMachine.create(RequestPolicySettings.defaults(), 7, invariants),
				ClaimTable.create(50, RandomSource.SPLIT_MIX_64.create(7), this.now),
				ClaimStore.of(new FakePlatform(), (reply) -> {
				}), EntryMetrics.of(new SimpleMeterRegistry()), invariants, () -> this.now, () -> this.wallMillis,
				1 << 20);
		return EntryState.create(new EntryIdentity("e", "p1", 1), this.output, wiring);
	}

	private void confirm(long asOfNanos) {
		this.state.apply(new EntryEvent.HeadRead(new Head(1, DIGEST, "amy", 0, "n"), asOfNanos));
	}

	private void advance(long millis) {
		this.now += millis * MILLI;
		this.wallMillis += millis;
	}

	private void tick() {
		this.state.apply(new EntryEvent.Tick());
	}

	private boolean mayReject() {
		return this.output.view.mayReject(this.now, this.wallMillis);
	}

	@Test
	void aRecentlyConfirmedBundleAllowsRejections() {
		assertThat(mayReject(), Matchers.equalTo(true));
	}

	// Only time passes, and no event publishes a new view.
	@ParameterizedTest
	@CsvSource({ "7200,true", "7201,false" })
	void theViewStopsRejectingOnceTheBundleIsStale(long millis, boolean mayReject) {
		advance(millis);
		tick();
		assertThat(mayReject(), Matchers.equalTo(mayReject));
	}

	@Test
	void theViewRejectsAgainWhenTheHeadIsConfirmed() {
		advance(8000);
		tick();
		confirm(this.now);
		tick();
		assertThat(mayReject(), Matchers.equalTo(true));
		advance(5000);
		confirm(this.now);
		tick();
		advance(5000);
		tick();
		assertThat(mayReject(), Matchers.equalTo(true));
	}

	// The newer bundle may contain what a request asks for, but is not fetched yet.
	@Test
	void nothingIsRejectedOnceANewerHeadIsKnown() {
		this.state.apply(new EntryEvent.HeadRead(new Head(2, "newer", "amy", 0, "n"), this.now));
		tick();
		assertThat(mayReject(), Matchers.equalTo(false));
	}

	// The HTTP threads go on using the last view.
	@Test
	void theViewStopsRejectingWhileTheEventLoopIsStalled() {
		advance(7201);
		assertThat(mayReject(), Matchers.equalTo(false));
	}

	// The monotonic clock stands still while the VM is suspended, so the bundle seems
	// more recent than it is. With true, a view is also published before the next
	// confirmation.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void nothingIsRejectedAfterASuspensionUntilTheHeadIsConfirmedAgain(boolean ticked) {
		long requestedBeforeNanos = this.now - MILLI;
		this.wallMillis += 60_000;
		if (ticked) {
			tick();
			this.state.apply(new EntryEvent.LeavingMarksRead(Set.of()));
		}
		assertThat(mayReject(), Matchers.equalTo(false));
		confirm(requestedBeforeNanos);
		tick();
		assertThat(mayReject(), Matchers.equalTo(false));
		advance(1);
		confirm(this.now);
		tick();
		assertThat(mayReject(), Matchers.equalTo(true));
	}

	/** Records the last published view. */
	private static final class RecordingOutput implements EntryOutput {

		private EntryView view = EntryView.EMPTY;

		@Override
		public void readBundle(String digest) {
		}

		@Override
		public void reconcileLinks(List<Member> members) {
		}

		@Override
		public void publish(EntryView next) {
			this.view = next;
		}

		@Override
		public boolean idle() {
			return true;
		}

		@Override
		public void drained() {
		}

	}

}
