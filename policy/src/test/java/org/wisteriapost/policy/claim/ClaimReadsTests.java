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

class ClaimReadsTests {

	private static final long MILLI = 1_000_000;

	private static final int PAGES = 160;

	private long now = Duration.ofHours(1).toNanos();

	private final ClaimTable table = ClaimTable.create(50, RandomSource.SPLIT_MIX_64.create(1), this.now);

	private final Deque<Answer> answers = new ArrayDeque<>();

	private int reads;

	private int writes;

	// Callers see nothing of it, but the platform does: after an outage every page has
	// something to be written. Each is to be read about once for its write, not as often
	// as
	// the platform can answer.
	@Test
	void backlogOfManyPagesIsReadAboutOnceForEachWrite() {
		for (int i = 0; i < PAGES; i++) {
			ClaimKey key = ClaimKey.of("press", "key-" + i, 1_800_000_000_000L + i * 10_000L);
			carryOut(this.table.claim(i, key, "call", "nonce-" + i, this.now));
		}
		for (int i = 0; i < 10_000 && this.table.unwritten() > 0; i++) {
			this.now += MILLI;
			while (!this.answers.isEmpty() && this.answers.peek().at <= this.now) {
				answer(this.answers.poll());
			}
			if (i % 20 == 0) {
				carryOut(this.table.tick(this.now));
			}
		}
		assertThat(this.table.unwritten(), is(0));
		assertThat(this.writes, is(greaterThan(0)));
		assertThat(this.reads, is(lessThanOrEqualTo(2 * this.writes)));
	}

	private void carryOut(List<ClaimEffect> effects) {
		for (ClaimEffect effect : effects) {
			switch (effect) {
				case ClaimEffect.Read read -> {
					this.reads++;
					this.answers.add(new Answer(this.now + 4 * MILLI, read.object(), false));
				}
				case ClaimEffect.Write write -> {
					this.writes++;
					this.answers.add(new Answer(this.now + 4 * MILLI, write.object(), true));
				}
				case ClaimEffect.Tell tell -> {
				}
			}
		}
	}

	private void answer(Answer answer) {
		carryOut(answer.written ? this.table.written(answer.object, 1, this.now)
				: this.table.read(answer.object, Optional.empty(), 0, false, this.now));
	}

	private record Answer(long at, String object, boolean written) {
	}

}
