package org.wisteriapost.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.wisteriapost.policy.fleet.StoreRole.Step;

/**
 * The handling of one loss of the leader by a follower, until it follows another leader
 * or reads the store itself.
 *
 * All followers of a group lose their leader at the same time. Were all to read, a narrow
 * link to the store would be full of copies of its state, of which none completes in
 * time, and would stay full. So the next entry by rendezvous hashing reads at once, and
 * the others ask it, repeatedly while it has only started. If it has not helped them
 * within {@value #FIRST_SUCCESSOR_MILLIS} ms, they begin to read one after the other, the
 * last after {@value #MAX_FAILOVER_MILLIS} ms, and each is asked by those that come after
 * it: whichever completes first serves all. An entry with no successor left to ask reads
 * at once.
 *
 * A follower that alone has lost its leader, since only its own link is silent, would
 * wait for a successor that does not read, and meanwhile handle requests by a route table
 * that exceeds the staleness limit. Two safeguards prevent that. When all have lost the
 * leader, no peer has heard it later than this entry; so a peer that still follows and
 * has heard it later is skipped at once, and after {@value #MAX_SKIPPED_FOLLOWERS} such
 * peers this entry reads. And until a peer confirms the loss, an entry waits no longer
 * than a share of the activation delay, from the last time that its state was confirmed.
 */
final class LeaderFailover {

	// The time that the first successor has before the next one also begins to read.
	static final int FIRST_SUCCESSOR_MILLIS = 500;

	static final int MAX_FAILOVER_MILLIS = 2000;

	static final int MAX_SKIPPED_FOLLOWERS = 3;

	private static final long FIRST_SUCCESSOR_NANOS = Duration.ofMillis(FIRST_SUCCESSOR_MILLIS).toNanos();

	private static final long MAX_FAILOVER_NANOS = Duration.ofMillis(MAX_FAILOVER_MILLIS).toNanos();

	// A successor in another region answers within it.
	private static final long MIN_WAIT_NANOS = Duration.ofMillis(300).toNanos();

	// A leader sends a heartbeat each half second. A peer that has heard it later than
	// this
	// entry by as much has received a heartbeat that this entry missed.
	private static final long MISSED_HEARTBEAT_NANOS = Duration.ofMillis(600).toNanos();

	// A peer that has heard its leader longer ago may have lost it as well.
	private static final long MAX_REPORT_AGE_NANOS = Duration.ofMillis(StoreRole.LEADER_TIMEOUT_MILLIS).toNanos();

	// Between the starts of two successors: enough for the later to ask the earlier one.
	private static final long STAGGER_NANOS = Duration.ofMillis(150).toNanos();

	// A successor answers at once whether it reads.
	private static final long ANSWER_TIMEOUT_NANOS = Duration.ofMillis(400).toNanos();

	private final LeaderOrder order;

	// The peers that are to read before this entry, the first successor first.
	private final List<String> successors;

	private final long leaderHeardNanos;

	private final long lostNanos;

	// When this entry reads if no peer has confirmed the loss.
	private final long readDeadlineNanos;

	// Since when the first of the successors is to read.
	private long firstSuccessorSinceNanos;

	private Optional<String> askedPeer = Optional.empty();

	// When the peer was asked or has last answered.
	private long lastExchangeNanos;

	private Answer lastAnswer = Answer.NONE;

	// Whether a successor has answered that it reads, or has not heard the leader later:
	// it has lost the leader as well.
	private boolean lossIsShared;

	private int skippedFollowers;

	private LeaderFailover(LeaderOrder order, List<String> successors, long leaderHeardNanos, long readDeadlineNanos,
			long nowNanos) {
		this.order = order;
		this.successors = new ArrayList<>(successors);
		this.leaderHeardNanos = leaderHeardNanos;
		this.lostNanos = nowNanos;
		this.readDeadlineNanos = readDeadlineNanos;
		this.firstSuccessorSinceNanos = nowNanos;
	}

	/**
	 * Begins the failover from a leader that is lost now.
	 * @param group the other live entries of this entry's group
	 * @param leaderHeardNanos when the leader was last heard
	 * @param freshnessDeadlineNanos when this entry must be up to date with the store
	 * again
	 */
	static LeaderFailover begin(LeaderOrder order, Collection<String> group, long leaderHeardNanos,
			long freshnessDeadlineNanos, long nowNanos) {
		long waitNanos = Math.clamp(freshnessDeadlineNanos - nowNanos, MIN_WAIT_NANOS, MAX_FAILOVER_NANOS);
		return new LeaderFailover(order, order.candidatesBefore(group, nowNanos), leaderHeardNanos,
				nowNanos + waitNanos, nowNanos);
	}

	/**
	 * Returns when the lost leader was last heard.
	 */
	long leaderHeardNanos() {
		return this.leaderHeardNanos;
	}

	/**
	 * Returns the peer that this entry has asked last.
	 */
	Optional<String> askedPeer() {
		return this.askedPeer;
	}

	/**
	 * Returns what is to be done now; the last step is to read when the failover ends
	 * without another leader.
	 */
	List<Step> tick(Collection<String> group, long nowNanos) {
		removeUnavailable(group, nowNanos);
		boolean pending = this.askedPeer.filter(this.successors::contains).isPresent()
				&& this.lastAnswer != Answer.NOT_CURRENT;
		boolean served = pending && this.lastAnswer == Answer.CURRENT;
		boolean due = !served && nowNanos - this.firstSuccessorSinceNanos >= startDelayNanos(this.successors.size());
		long deadline = this.lossIsShared ? this.lostNanos + MAX_FAILOVER_NANOS : this.readDeadlineNanos;
		if (due || nowNanos - deadline >= 0) {
			return startReading();
		}
		return pending ? List.of() : ask(this.successors.getFirst(), nowNanos);
	}

	/**
	 * Handles the answer of the peer that was asked. One that is not current may follow
	 * the leader: a peer of an older version does not tell.
	 * @param current whether the store answers that peer
	 */
	List<Step> answered(String peer, boolean current, long nowNanos) {
		if (current) {
			confirmLoss();
		}
		this.lastAnswer = current ? Answer.CURRENT : Answer.NOT_CURRENT;
		this.lastExchangeNanos = nowNanos;
		return current ? List.of() : nextStarted(peer, nowNanos).map((next) -> ask(next, nowNanos)).orElse(List.of());
	}

	private void confirmLoss() {
		this.lossIsShared = this.skippedFollowers == 0;
	}

	/**
	 * Handles the answer of the peer that was asked, is not current and tells when it
	 * last heard its leader.
	 * @param leaderHeardAgoNanos the time from when it last heard its leader to its
	 * answer
	 */
	List<Step> answeredAsFollower(String peer, long leaderHeardAgoNanos, Collection<String> group, long nowNanos) {
		boolean heardLeaderLater = leaderHeardAgoNanos >= 0 && leaderHeardAgoNanos <= MAX_REPORT_AGE_NANOS
				&& this.lastExchangeNanos - leaderHeardAgoNanos - this.leaderHeardNanos >= MISSED_HEARTBEAT_NANOS;
		if (!heardLeaderLater) {
			confirmLoss();
			return answered(peer, false, nowNanos);
		}
		this.lastAnswer = Answer.NOT_CURRENT;
		this.successors.remove(peer);
		this.skippedFollowers++;
		this.lossIsShared = false;
		return (this.skippedFollowers == MAX_SKIPPED_FOLLOWERS) ? startReading() : tick(group, nowNanos);
	}

	private List<Step> startReading() {
		List<Step> steps = new ArrayList<>(dismissAskedPeer());
		steps.add(new Step.Read());
		return steps;
	}

	// Removes the successors that have left the group and the one that did not answer;
	// the
	// next one is to read at once.
	private void removeUnavailable(Collection<String> group, long nowNanos) {
		Optional<String> first = this.successors.stream().findFirst();
		boolean silent = nowNanos - this.lastExchangeNanos > ANSWER_TIMEOUT_NANOS;
		this.askedPeer.filter((peer) -> silent && this.successors.contains(peer)).ifPresent((peer) -> {
			this.order.suspect(peer, nowNanos);
			this.successors.remove(peer);
		});
		this.successors.retainAll(group);
		if (!first.equals(this.successors.stream().findFirst())) {
			this.firstSuccessorSinceNanos = nowNanos;
		}
	}

	private List<Step> ask(String successor, long nowNanos) {
		List<Step> steps = new ArrayList<>(
				this.askedPeer.equals(Optional.of(successor)) ? List.of() : dismissAskedPeer());
		steps.add(new Step.Ask(successor));
		this.lastAnswer = Answer.NONE;
		this.askedPeer = Optional.of(successor);
		this.lastExchangeNanos = nowNanos;
		return steps;
	}

	// A peer that has answered that it is not current sends nothing more.
	private List<Step> dismissAskedPeer() {
		return this.askedPeer.filter((peer) -> this.lastAnswer != Answer.NOT_CURRENT)
			.<List<Step>>map((peer) -> List.of(new Step.Dismiss(peer)))
			.orElse(List.of());
	}

	// The next successor, if it has begun to read by now.
	private Optional<String> nextStarted(String successor, long nowNanos) {
		int rank = this.successors.indexOf(successor) + 1;
		boolean started = rank < this.successors.size()
				&& nowNanos - this.firstSuccessorSinceNanos >= startDelayNanos(rank);
		return started ? Optional.of(this.successors.get(rank)) : Optional.empty();
	}

	// The time from the loss until the entry of a rank begins to read.
	private static long startDelayNanos(int rank) {
		return (rank == 0) ? 0 : Math.min(FIRST_SUCCESSOR_NANOS + (rank - 1) * STAGGER_NANOS, MAX_FAILOVER_NANOS);
	}

	private enum Answer {

		NONE, CURRENT, NOT_CURRENT

	}

}
