package org.wisteriapost.policy.claim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.claim.ClaimRecord.KeptAnswer;
import org.wisteriapost.policy.claim.ClaimRecord.State;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class ClaimTableTests {

	private static final long TIME = 1_800_000_000_000L;

	// Settlements and releases wait a fifth of a second for others to share a write with.
	private static final int SETTLED_MILLIS = 400;

	private static final KeptAnswer ANSWER = new KeptAnswer(200, List.of("a", "b"),
			"978-1".getBytes(StandardCharsets.UTF_8));

	private final ClaimSim sim = new ClaimSim(2, 7);

	@Test
	void firstIsClaimedAndARepeatElsewhereGetsItsAnswer() {
		claim(0, 1, "k", "n1");
		this.sim.run(100);
		assertThat(only(1), is(new ClaimVerdict.Claimed(1)));
		this.sim.carryOut(0, this.sim.table(0).settle(key("k"), "n1", State.ANSWERED, ANSWER, this.sim.now()));
		this.sim.run(SETTLED_MILLIS);
		claim(1, 2, "k", "n2");
		this.sim.run(100);
		ClaimVerdict.Repeated repeated = (ClaimVerdict.Repeated) only(2);
		assertThat(new String(repeated.first().answer().body(), StandardCharsets.UTF_8), is("978-1"));
		assertThat(repeated.same(), is(true));
	}

	@Test
	void keyOfAnotherCallIsSaidToBeOne() {
		claim(0, 1, "k", "n1");
		this.sim.run(100);
		this.sim.carryOut(0, this.sim.table(0).claim(2, key("k"), "other", "n2", this.sim.now()));
		this.sim.run(100);
		assertThat(((ClaimVerdict.Repeated) only(2)).same(), is(false));
	}

	@Test
	void releasedKeyMayBeClaimedAgain() {
		claim(0, 1, "k", "n1");
		this.sim.run(100);
		this.sim.carryOut(0, this.sim.table(0).release(key("k"), "n1", this.sim.now()));
		this.sim.run(SETTLED_MILLIS);
		claim(1, 2, "k", "n2");
		this.sim.run(100);
		assertThat(only(2), is(new ClaimVerdict.Claimed(2)));
	}

	// An entry was paused, and what it believes of its claim is old. The claim is another
	// writer's by now; neither release nor settlement with the old nonce may touch it.
	@Test
	void othersClaimIsNeitherReleasedNorSettled() {
		claim(0, 1, "k", "n1");
		this.sim.run(100);
		this.sim.carryOut(1, this.sim.table(1).release(key("k"), "old", this.sim.now()));
		this.sim.carryOut(1, this.sim.table(1).settle(key("k"), "old", State.ANSWERED, ANSWER, this.sim.now()));
		this.sim.run(SETTLED_MILLIS);
		claim(1, 2, "k", "n2");
		this.sim.run(100);
		assertThat(((ClaimVerdict.Repeated) only(2)).first().state(), is(State.CLAIMED));
	}

	// The platform takes a claim, and the confirmation is lost. The entry reads back,
	// finds
	// its own nonce and goes on: the call runs once, and its caller is not turned away.
	@Test
	void claimWhoseConfirmationIsLostIsFoundAgain() {
		this.sim.loses(1);
		claim(0, 1, "k", "n1");
		for (int i = 0; i < 200 && this.sim.verdicts(1).isEmpty(); i++) {
			this.sim.run(10);
		}
		assertThat(only(1), is(new ClaimVerdict.Claimed(1)));
	}

	// The confirmation is lost and the platform then goes away: the caller is refused,
	// and
	// its claim stands there for no one. It is taken back as soon as that can be done, so
	// that the caller's repeat can run.
	@Test
	void claimThatWasRefusedAfterALostConfirmationIsTakenBack() {
		this.sim.loses(1);
		claim(0, 1, "k", "n1");
		for (int i = 0; i < 5000 && this.sim.stored() == 0; i++) {
			this.sim.run(1);
		}
		this.sim.down(true);
		this.sim.run(100);
		assertThat(only(1), is(new ClaimVerdict.Failed(1, false)));
		this.sim.loses(0);
		this.sim.down(false);
		this.sim.run(3000);
		claim(1, 2, "k", "n2");
		this.sim.run(100);
		assertThat(only(2), is(new ClaimVerdict.Claimed(2)));
	}

	@Test
	void platformThatIsDownRefusesAndLaterTakes() {
		this.sim.down(true);
		claim(0, 1, "k", "n1");
		this.sim.run(100);
		assertThat(only(1), is(new ClaimVerdict.Failed(1, false)));
		claim(0, 2, "k", "n2");
		assertThat(only(2), is(new ClaimVerdict.Failed(2, false)));
		this.sim.down(false);
		this.sim.run(2000);
		claim(0, 3, "k", "n3");
		this.sim.run(100);
		assertThat(only(3), is(new ClaimVerdict.Claimed(3)));
	}

	// An outage lasts while callers go on asking. Each is refused; none of them may leave
	// anything behind in the heap.
	@Test
	void outageGathersNothing() {
		this.sim.down(true);
		for (int i = 0; i < 1000; i++) {
			claim(0, i, "k" + i, "n" + i);
			this.sim.run(2);
		}
		this.sim.run(100);
		assertThat(this.sim.table(0).unwritten(), is(0));
	}

	// The slot that a key was made in is taken over 25 hours later. A repeat that comes
	// then finds no record, and must not be taken for new.
	@Test
	void keyOfASlotThatWasTakenOverIsExpired() {
		claim(0, 1, "k", "n1");
		this.sim.run(100);
		long ring = ClaimKey.KEPT.plusHours(1).toMillis();
		ClaimKey taker = sameObject(key("k").object(), TIME + ring);
		this.sim.carryOut(0, this.sim.table(0).claim(2, taker, "c", "n2", this.sim.now()));
		this.sim.run(100);
		assertThat(only(2), is(new ClaimVerdict.Claimed(2)));
		claim(1, 3, "k", "n3");
		this.sim.run(100);
		assertThat(only(3), instanceOf(ClaimVerdict.Expired.class));
	}

	@Test
	void fullPageTakesNoMoreClaimsAndLosesNone() {
		String object = key("k").object();
		List<Long> asked = new ArrayList<>();
		for (long id = 0; asked.size() < 5000; id++) {
			if (key("k" + id).object().equals(object)) {
				claim(0, id, "k" + id, "n" + id);
				asked.add(id);
			}
		}
		this.sim.run(2000);
		long claimed = this.sim.told()
			.stream()
			.filter((told) -> told.verdict() instanceof ClaimVerdict.Claimed)
			.count();
		long full = this.sim.told().stream().filter((told) -> told.verdict().equals(full(told.verdict().id()))).count();
		assertThat(claimed + full, is((long) asked.size()));
		assertThat(full > 0, is(true));
	}

	// A burst of calls comes while the platform takes few writes: they share writes.
	@Test
	void burstSharesWrites() {
		for (int i = 0; i < 500; i++) {
			claim(0, i, "k" + i, "n" + i);
		}
		this.sim.run(2000);
		assertThat(this.sim.told().size(), is(500));
		assertThat(this.sim.writes(), lessThan(60));
	}

	// Six entries get the same calls at the same time, again and again. Writes are lost
	// before, after and long after their effect, and the platform goes away in between.
	// Whatever happens, no key is given twice, unless its holder has given it back.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void noKeyIsClaimedTwice(long seed) {
		ClaimSim run = new ClaimSim(6, seed);
		run.loses(0.2);
		Map<Long, Wish> wishes = new HashMap<>();
		Map<String, String> holders = new HashMap<>();
		List<String> doubled = new ArrayList<>();
		int seen = 0;
		for (int step = 0; step < 4000; step++) {
			long id = step;
			Wish wish = new Wish(run.random().nextInt(6), "k" + run.random().nextInt(300), "n" + id);
			wishes.put(id, wish);
			run.carryOut(wish.entry, run.table(wish.entry).claim(id, key(wish.key), "c", wish.nonce, run.now()));
			run.down(step % 500 > 470);
			run.run(1 + run.random().nextInt(4));
			for (; seen < run.told().size(); seen++) {
				Wish done = wishes.get(run.told().get(seen).verdict().id());
				if (run.told().get(seen).verdict() instanceof ClaimVerdict.Claimed
						&& holders.putIfAbsent(done.key, done.nonce) != null) {
					doubled.add(done.key);
				}
				else if (done.nonce.equals(holders.get(done.key)) && run.random().nextInt(4) == 0) {
					holders.remove(done.key);
					run.carryOut(done.entry, run.table(done.entry).release(key(done.key), done.nonce, run.now()));
				}
			}
		}
		assertThat(doubled, empty());
		assertThat(holders.isEmpty(), is(false));
	}

	private void claim(int entry, long id, String key, String nonce) {
		this.sim.carryOut(entry, this.sim.table(entry).claim(id, key(key), "c", nonce, this.sim.now()));
	}

	private ClaimVerdict only(long id) {
		List<ClaimVerdict> verdicts = this.sim.verdicts(id);
		assertThat(verdicts.size(), is(1));
		return verdicts.getFirst();
	}

	private static ClaimVerdict full(long id) {
		return new ClaimVerdict.Failed(id, true);
	}

	private static ClaimKey key(String text) {
		return ClaimKey.of("baobab", text, TIME);
	}

	private static ClaimKey sameObject(String object, long time) {
		for (int i = 0;; i++) {
			ClaimKey candidate = ClaimKey.of("baobab", "taker" + i, time);
			if (candidate.object().equals(object)) {
				return candidate;
			}
		}
	}

	private record Wish(int entry, String key, String nonce) {
	}

}
