package org.wisteriapost.policy.transfer;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class UploadQueueTests {

	private final UploadQueue<String> uploads = UploadQueue.create(4, 2);

	@Test
	void peersAreServedInTurn() {
		this.uploads.offer("a", "a1");
		this.uploads.offer("a", "a2");
		this.uploads.offer("b", "b1");
		assertThat(this.uploads.next(), is(Optional.of("a1")));
		assertThat(this.uploads.next(), is(Optional.of("b1")));
		assertThat(this.uploads.next(), is(Optional.of("a2")));
		assertThat(this.uploads.next(), is(Optional.empty()));
	}

	@Test
	void onePeerCannotFillTheQueue() {
		assertThat(this.uploads.offer("a", "1"), is(true));
		assertThat(this.uploads.offer("a", "2"), is(true));
		assertThat(this.uploads.offer("a", "3"), is(false));
		assertThat(this.uploads.offer("b", "1"), is(true));
	}

	@Test
	void queueIsBoundedAndRemovedRequestsFreeCapacity() {
		for (String peer : new String[] { "a", "b" }) {
			this.uploads.offer(peer, "1");
			this.uploads.offer(peer, "2");
		}
		assertThat(this.uploads.offer("c", "1"), is(false));
		this.uploads.removePeer("a");
		assertThat(this.uploads.offer("c", "1"), is(true));
	}

}
