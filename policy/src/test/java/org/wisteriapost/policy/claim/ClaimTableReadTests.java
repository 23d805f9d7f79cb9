package org.wisteriapost.policy.claim;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class ClaimTableReadTests {

	private static final long MILLI = 1_000_000;

	private static final int PAGES = 160;

	private long now = Duration.ofHours(1).toNanos();

	private final ClaimTable table = ClaimTable.create(50, RandomSource.SPLIT_MIX_64.create(1), this.now);

	private final Deque<Reply> replies = new ArrayDeque<>();

	private int reads;

	private int writes;

	// Guards against a read storm after an outage, when every page has a pending write:
	// each page should be read about once per write.
	@Test
	void pagesAreReadAtMostTwicePerWriteAfterAnOutage() {
		for (int i = 0; i < PAGES; i++) {
			ClaimKey key = ClaimKey.of("press", "key-" + i, 1_800_000_000_000L + i * 10_000L);
			carryOut(this.table.claim(i, key, "call", "nonce-" + i, this.now));
		}
		for (int i = 0; i < 10_000 && this.table.pendingOperations() > 0; i++) {
			this.now += MILLI;
			while (!this.replies.isEmpty() && this.replies.peek().atNanos <= this.now) {
				deliver(this.replies.poll());
			}
			if (i % 20 == 0) {
				carryOut(this.table.tick(this.now));
			}
		}
		assertThat(this.table.pendingOperations(), is(0));
		assertThat(this.writes, is(greaterThan(0)));
		assertThat(this.reads, is(lessThanOrEqualTo(2 * this.writes)));
	}

	private void carryOut(List<ClaimEffect> effects) {
		for (ClaimEffect effect : effects) {
			switch (effect) {
				case ClaimEffect.Read read -> {
					this.reads++;
					this.replies.add(new Reply(this.now + 4 * MILLI, read.object(), false));
				}
				case ClaimEffect.Write write -> {
					this.writes++;
					this.replies.add(new Reply(this.now + 4 * MILLI, write.object(), true));
				}
				case ClaimEffect.Complete tell -> {
				}
			}
		}
	}

	private void deliver(Reply reply) {
		carryOut(reply.written ? this.table.onWritten(reply.object, 1, this.now)
				: this.table.onRead(reply.object, Optional.empty(), 0, false, this.now));
	}

	private record Reply(long atNanos, String object, boolean written) {
	}

}
