package org.wisteriapost.policy.claim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.claim.ClaimRecord.State;
import org.wisteriapost.policy.claim.ClaimRecord.StoredAnswer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class ClaimTableTests {

	private static final long ISSUED_MILLIS = 1_800_000_000_000L;

	// Longer than the delay of settlements and releases.
	private static final int SETTLE_WAIT_MILLIS = 400;

	private static final StoredAnswer ANSWER = new StoredAnswer(200, List.of("a", "b"),
			"978-1".getBytes(StandardCharsets.UTF_8));

	private final ClaimSim sim = new ClaimSim(2, 7);

	@Test
	void repeatAtAnotherEntryGetsTheStoredAnswer() {
		claim(0, 1, "k", "n1");
		this.sim.run(100);
		assertThat(singleResult(1), is(new ClaimResult.Claimed(1)));
		this.sim.carryOut(0, this.sim.table(0).settle(key("k"), "n1", State.ANSWERED, ANSWER, this.sim.now()));
		this.sim.run(SETTLE_WAIT_MILLIS);
		claim(1, 2, "k", "n2");
		this.sim.run(100);
		ClaimResult.AlreadyClaimed repeated = (ClaimResult.AlreadyClaimed) singleResult(2);
		assertThat(new String(repeated.first().answer().body(), StandardCharsets.UTF_8), is("978-1"));
		assertThat(repeated.sameCall(), is(true));
	}

	@Test
	void keyReusedForAnotherCallIsDetected() {
		claim(0, 1, "k", "n1");
		this.sim.run(100);
		this.sim.carryOut(0, this.sim.table(0).claim(2, key("k"), "other", "n2", this.sim.now()));
		this.sim.run(100);
		assertThat(((ClaimResult.AlreadyClaimed) singleResult(2)).sameCall(), is(false));
	}

	@Test
	void releasedKeyMayBeClaimedAgain() {
		claim(0, 1, "k", "n1");
		this.sim.run(100);
		this.sim.carryOut(0, this.sim.table(0).release(key("k"), "n1", this.sim.now()));
		this.sim.run(SETTLE_WAIT_MILLIS);
		claim(1, 2, "k", "n2");
		this.sim.run(100);
		assertThat(singleResult(2), is(new ClaimResult.Claimed(2)));
	}

	// Guards against a paused entry changing a claim that another writer holds by now.
	@Test
	void claimOfAnotherWriterIsNeitherReleasedNorSettled() {
		claim(0, 1, "k", "n1");
		this.sim.run(100);
		this.sim.carryOut(1, this.sim.table(1).release(key("k"), "old", this.sim.now()));
		this.sim.carryOut(1, this.sim.table(1).settle(key("k"), "old", State.ANSWERED, ANSWER, this.sim.now()));
		this.sim.run(SETTLE_WAIT_MILLIS);
		claim(1, 2, "k", "n2");
		this.sim.run(100);
		assertThat(((ClaimResult.AlreadyClaimed) singleResult(2)).first().state(), is(State.CLAIMED));
	}

	// Guards against refusing or repeating a call whose claim was written but not
	// confirmed: the entry reads the page and finds its own nonce.
	@Test
	void claimWithLostConfirmationIsRecoveredByReadingBack() {
		this.sim.setLossShare(1);
		claim(0, 1, "k", "n1");
		for (int i = 0; i < 200 && this.sim.resultsOf(1).isEmpty(); i++) {
			this.sim.run(10);
		}
		assertThat(singleResult(1), is(new ClaimResult.Claimed(1)));
	}

	// Guards against a refused claim that stays in the store after a lost confirmation
	// and an outage: it must be released so that the caller can retry.
	@Test
	void claimRefusedAfterALostConfirmationIsReleased() {
		this.sim.setLossShare(1);
		claim(0, 1, "k", "n1");
		for (int i = 0; i < 5000 && this.sim.storedObjects() == 0; i++) {
			this.sim.run(1);
		}
		this.sim.setDown(true);
		this.sim.run(100);
		assertThat(singleResult(1), is(new ClaimResult.Failed(1, false)));
		this.sim.setLossShare(0);
		this.sim.setDown(false);
		this.sim.run(3000);
		claim(1, 2, "k", "n2");
		this.sim.run(100);
		assertThat(singleResult(2), is(new ClaimResult.Claimed(2)));
	}

	@Test
	void claimsAreRefusedDuringAnOutageAndAcceptedAfterwards() {
		this.sim.setDown(true);
		claim(0, 1, "k", "n1");
		this.sim.run(100);
		assertThat(singleResult(1), is(new ClaimResult.Failed(1, false)));
		claim(0, 2, "k", "n2");
		assertThat(singleResult(2), is(new ClaimResult.Failed(2, false)));
		this.sim.setDown(false);
		this.sim.run(2000);
		claim(0, 3, "k", "n3");
		this.sim.run(100);
		assertThat(singleResult(3), is(new ClaimResult.Claimed(3)));
	}

	// Guards against memory growth during an outage while callers keep sending requests.
	@Test
	void refusedClaimsAreNotRetainedDuringAnOutage() {
		this.sim.setDown(true);
		for (int i = 0; i < 1000; i++) {
			claim(0, i, "k" + i, "n" + i);
			this.sim.run(2);
		}
		this.sim.run(100);
		assertThat(this.sim.table(0).pendingOperations(), is(0));
	}

	// Guards against taking an old key for new after its object was reused by a later
	// slot.
	@Test
	void keyOfAReusedSlotIsExpired() {
		claim(0, 1, "k", "n1");
		this.sim.run(100);
		long reuseMillis = ClaimKey.RETENTION.plusHours(1).toMillis();
		ClaimKey newKey = sameObject(key("k").object(), ISSUED_MILLIS + reuseMillis);
		this.sim.carryOut(0, this.sim.table(0).claim(2, newKey, "c", "n2", this.sim.now()));
		this.sim.run(100);
		assertThat(singleResult(2), is(new ClaimResult.Claimed(2)));
		claim(1, 3, "k", "n3");
		this.sim.run(100);
		assertThat(singleResult(3), instanceOf(ClaimResult.Expired.class));
	}

	@Test
	void fullPageRefusesClaimsAndKeepsExistingOnes() {
		String object = key("k").object();
		List<Long> ids = new ArrayList<>();
		for (long id = 0; ids.size() < 5000; id++) {
			if (key("k" + id).object().equals(object)) {
				claim(0, id, "k" + id, "n" + id);
				ids.add(id);
			}
		}
		this.sim.run(2000);
		long claimed = this.sim.results()
			.stream()
			.filter((delivered) -> delivered.result() instanceof ClaimResult.Claimed)
			.count();
		long full = this.sim.results()
			.stream()
			.filter((delivered) -> delivered.result().equals(full(delivered.result().id())))
			.count();
		assertThat(claimed + full, is((long) ids.size()));
		assertThat(full > 0, is(true));
	}

	@Test
	void burstSharesWrites() {
		for (int i = 0; i < 500; i++) {
			claim(0, i, "k" + i, "n" + i);
		}
		this.sim.run(2000);
		assertThat(this.sim.results().size(), is(500));
		assertThat(this.sim.writes(), lessThan(60));
	}

	// Six entries claim the same keys concurrently while writes are lost before, after
	// and long after their effect, and the platform is down at times. No key may be
	// claimed twice unless its holder released it.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void noKeyIsClaimedTwice(long seed) {
		ClaimSim run = new ClaimSim(6, seed);
		run.setLossShare(0.2);
		Map<Long, ClaimAttempt> attempts = new HashMap<>();
		Map<String, String> holders = new HashMap<>();
		List<String> claimedTwice = new ArrayList<>();
		int seen = 0;
		for (int step = 0; step < 4000; step++) {
			long id = step;
			ClaimAttempt attempt = new ClaimAttempt(run.random().nextInt(6), "k" + run.random().nextInt(300), "n" + id);
			attempts.put(id, attempt);
			run.carryOut(attempt.entry,
					run.table(attempt.entry).claim(id, key(attempt.key), "c", attempt.nonce, run.now()));
			run.setDown(step % 500 > 470);
			run.run(1 + run.random().nextInt(4));
			for (; seen < run.results().size(); seen++) {
				ClaimAttempt attempted = attempts.get(run.results().get(seen).result().id());
				if (run.results().get(seen).result() instanceof ClaimResult.Claimed
						&& holders.putIfAbsent(attempted.key, attempted.nonce) != null) {
					claimedTwice.add(attempted.key);
				}
				else if (attempted.nonce.equals(holders.get(attempted.key)) && run.random().nextInt(4) == 0) {
					holders.remove(attempted.key);
					run.carryOut(attempted.entry,
							run.table(attempted.entry).release(key(attempted.key), attempted.nonce, run.now()));
				}
			}
		}
		assertThat(claimedTwice, empty());
		assertThat(holders.isEmpty(), is(false));
	}

	private void claim(int entry, long id, String key, String nonce) {
		this.sim.carryOut(entry, this.sim.table(entry).claim(id, key(key), "c", nonce, this.sim.now()));
	}

	private ClaimResult singleResult(long id) {
		List<ClaimResult> results = this.sim.resultsOf(id);
		assertThat(results.size(), is(1));
		return results.getFirst();
	}

	private static ClaimResult full(long id) {
		return new ClaimResult.Failed(id, true);
	}

	private static ClaimKey key(String text) {
		return ClaimKey.of("baobab", text, ISSUED_MILLIS);
	}

	private static ClaimKey sameObject(String object, long issuedMillis) {
		for (int i = 0;; i++) {
			ClaimKey candidate = ClaimKey.of("baobab", "new" + i, issuedMillis);
			if (candidate.object().equals(object)) {
				return candidate;
			}
		}
	}

	private record ClaimAttempt(int entry, String key, String nonce) {
	}

}
