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
import org.wisteriapost.entry.caller.ServiceView;
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
 * A caller is told for good that there is no such model by what the entry shows its HTTP
 * side. Bundles roll within eight seconds; the entry shows that its own may be old once
 * it has not been confirmed for nine tenths of that, whether or not anything happens.
 */
class EntryStateTests {

	private static final long MILLI = 1_000_000;

	private static final byte[] CONTENT = BundleCodec.encode(new Bundle("b", "1", List.of(), List.of()));

	private static final String DIGEST = Digests.sha256(CONTENT);

	private final Output output = new Output();

	private long now = 100_000 * MILLI;

	private long dayMillis = 1_000_000;

	private final EntryState state = state();

	@BeforeEach
	void take() {
		confirm(this.now);
		this.state.apply(new EntryEvent.BundleRead(new BundleContent(DIGEST, CONTENT, Map.of())));
	}

	private EntryState state() {
		Invariants invariants = Invariants.create();
		EntryWiring wiring = new EntryWiring(
				RequestStateMachine.create(RequestPolicySettings.defaults(), 7, invariants),
				ClaimTable.create(50, RandomSource.SPLIT_MIX_64.create(7), this.now),
				ClaimStore.of(new FakePlatform(), (reply) -> {
				}), EntryMetrics.of(new SimpleMeterRegistry()), invariants, () -> this.now, () -> this.dayMillis,
				1 << 20);
		return EntryState.create(new Identity("e", "p1", 1), this.output, wiring);
	}

	private void confirm(long asOfNanos) {
		this.state.apply(new EntryEvent.HeadRead(new Head(1, DIGEST, "amy", 0, "n"), asOfNanos));
	}

	private void pass(long millis) {
		this.now += millis * MILLI;
		this.dayMillis += millis;
	}

	private void tick() {
		this.state.apply(new EntryEvent.Tick());
	}

	private boolean mayReject() {
		return this.output.view.mayReject(this.now, this.dayMillis);
	}

	@Test
	void theBundleThatWasJustConfirmedRejects() {
		assertThat(mayReject(), Matchers.equalTo(true));
	}

	// Nothing changes but the time. The view is made anew after changes only.
	@ParameterizedTest
	@CsvSource({ "7200,true", "7201,false" })
	void theViewGrowsOldWithTheBundle(long millis, boolean rejects) {
		pass(millis);
		tick();
		assertThat(mayReject(), Matchers.equalTo(rejects));
	}

	@Test
	void theViewGrowsYoungWhenTheHeadIsConfirmed() {
		pass(8000);
		tick();
		confirm(this.now);
		tick();
		assertThat(mayReject(), Matchers.equalTo(true));
		pass(5000);
		confirm(this.now);
		tick();
		pass(5000);
		tick();
		assertThat(mayReject(), Matchers.equalTo(true));
	}

	// The newer bundle may hold what a request asks for. Its head is known long before it
	// is here.
	@Test
	void aBundleRejectsNothingOnceANewerHeadIsKnown() {
		this.state.apply(new EntryEvent.HeadRead(new Head(2, "newer", "amy", 0, "n"), this.now));
		tick();
		assertThat(mayReject(), Matchers.equalTo(false));
	}

	// The thread that decides is held up, and the HTTP side goes on.
	@Test
	void theViewGrowsOldWhileNothingIsDecided() {
		pass(7201);
		assertThat(mayReject(), Matchers.equalTo(false));
	}

	// The VM is suspended for a minute, in which operators roll. The monotonic clock has
	// stood still, so the bundle seems as young as before.
	// What is shown anew for another reason rests on what was known before, too.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void whatWasKnownBeforeASuspensionRejectsNothing(boolean ticked) {
		long askedBefore = this.now - MILLI;
		this.dayMillis += 60_000;
		if (ticked) {
			tick();
			this.state.apply(new EntryEvent.MarksRead(Set.of()));
		}
		assertThat(mayReject(), Matchers.equalTo(false));
		confirm(askedBefore);
		tick();
		assertThat(mayReject(), Matchers.equalTo(false));
		pass(1);
		confirm(this.now);
		tick();
		assertThat(mayReject(), Matchers.equalTo(true));
	}

	/** Keeps what it is shown. */
	private static final class Output implements EntryOutput {

		private ServiceView view = ServiceView.EMPTY;

		@Override
		public void readBundle(String digest) {
		}

		@Override
		public void keepLinks(List<Member> members) {
		}

		@Override
		public void publish(ServiceView next) {
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
