package org.wisteriapost.policy.transfer;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;

class UploadWindowTests {

	private static final long MILLI = 1_000_000;

	private final UploadWindow window = UploadWindow.create();

	private long now;

	@Test
	void moreGoesOutWhileItComesQuickly() {
		int before = fill();
		for (int round = 0; round < 4; round++) {
			this.now += 20 * MILLI;
			confirmAll();
			fill();
		}
		this.now += 20 * MILLI;
		confirmAll();
		assertThat(fill(), Matchers.greaterThan(before));
	}

	@Test
	void lessGoesOutWhenItTakesLong() {
		int before = fill();
		this.now += 20 * MILLI;
		confirmAll();
		fill();
		this.now += 1000 * MILLI;
		confirmAll();
		assertThat(fill(), Matchers.lessThan(before));
	}

	// Peers that asked for parts are gone on to others and ask for nothing more. What
	// they
	// were sent is forgotten in time, and meanwhile one more part may go out always.
	@Test
	void peersThatAskForNothingMoreStopNobody() {
		fill();
		this.now += 20 * MILLI;
		this.window.asked("peer-0", this.now);
		fill();
		this.now += 1000 * MILLI;
		assertThat(this.window.open(0, this.now), Matchers.is(true));
		this.now += 10_000 * MILLI;
		assertThat(fill(), Matchers.greaterThan(0));
	}

	private int fill() {
		int sent = 0;
		while (this.window.open(0, this.now)) {
			this.window.sent("peer-" + sent, true, this.now);
			sent++;
		}
		return sent;
	}

	private void confirmAll() {
		for (int peer = 0; peer < 20; peer++) {
			this.window.asked("peer-" + peer, this.now);
		}
	}

}
