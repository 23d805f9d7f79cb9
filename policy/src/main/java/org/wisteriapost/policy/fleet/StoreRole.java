package org.wisteriapost.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

/**
 * The role of an entry in its group: the leader reads the site's store for all entries of
 * the group, and the others follow it.
 *
 * Dozens of entries each watch several kinds of objects. Were all to read the store, each
 * change of a runner would cost a call for each entry, some hundred calls a second while
 * a service is replaced, against rate limits that all share. So only the leader reads,
 * the first live entry by rendezvous hashing, and the others follow it.
 *
 * A leader may crash, hang, be partitioned or be refused by the store. Followers that
 * missed its updates would send callers to runners that have been removed. So a follower
 * takes its leader as lost when it reports that the store does not answer it, when the
 * link to it is closed, and when nothing was received for {@value #LEADER_TIMEOUT_MILLIS}
 * ms; a leader sends something every half second. Two leaders at a time do no harm.
 * {@link LeaderFailover} handles the loss without all followers reading at once.
 *
 * A leader that hung goes on reading once it has recovered, beside its successor. While
 * both have followers neither stops, and the store serves both for good. So a follower
 * asks the first by rendezvous hashing as soon as that is no longer suspected, and leaves
 * its leader once it has received the full state from the other. All followers thus move
 * to the same leader, and the one without followers stops reading.
 *
 * The store may answer a leader's reads of runners while its read of the routes never
 * completes: its heartbeats continue, with a route table that still has revoked tokens.
 * So a leader whose routes exceed the staleness limit is replaced in the same way by one
 * whose routes don't. Were all followers to read, a link that is already full of the
 * route table would carry a copy for each; so the first of them by rendezvous hashing
 * reads at once, the next two after {@value #STALE_LEADER_STAGGER_MILLIS} ms each, and
 * the others follow whichever has recent routes.
 */
public final class StoreRole {

	/**
	 * Up to this number of entries each reads the store itself: the calls are few, and no
	 * entry depends on a leader.
	 */
	public static final int MAX_ENTRIES_WITHOUT_LEADER = 8;

	static final int LEADER_TIMEOUT_MILLIS = 1200;

	static final int MAX_FAILOVER_MILLIS = LeaderFailover.MAX_FAILOVER_MILLIS;

	static final int STALE_LEADER_STAGGER_MILLIS = 1000;

	private static final int MAX_STALE_LEADER_REPLACEMENTS = 3;

	private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

	private static final long STALE_LEADER_STAGGER_NANOS = Duration.ofMillis(STALE_LEADER_STAGGER_MILLIS).toNanos();

	private static final Duration DEFAULT_ACTIVATION_DELAY = Duration.ofSeconds(3);

	// The rest of the activation delay is for reading the store.
	private static final double MAX_UNINFORMED_SHARE = 0.8;

	private static final long LEADER_TIMEOUT_NANOS = Duration.ofMillis(LEADER_TIMEOUT_MILLIS).toNanos();

	// A link that does not carry the full state in this time is too slow for following.
	private static final long ANSWER_TIMEOUT_NANOS = Duration.ofMillis(600).toNanos();

	// After a start or a loss the peers are discovered one after the other.
	private static final long SETTLE_NANOS = Duration.ofSeconds(1).toNanos();

	private final String self;

	private final long maxUninformedNanos;

	private final LeaderOrder leaderOrder;

	private final LeaderStaleness staleness;

	private Stage stage = Stage.READING;

	// The leader that this entry follows or has asked; this entry or its next leader
	// while
	// it reads.
	private String leader;

	// When the stage was entered or the leader was last heard, whichever is later.
	private long lastEventNanos;

	// The group at the last tick.
	private Collection<String> group = List.of();

	// The peer that may replace the current leader and has been asked for its state.
	private Optional<String> candidate = Optional.empty();

	private long candidateNanos;

	// How many candidates have been asked because of stale routes.
	private int staleLeaderAttempts;

	private long leaderSinceNanos;

	// When the leader's routes exceeded the staleness limit.
	private OptionalLong staleSinceNanos = OptionalLong.empty();

	// The handling of the last loss of a leader.
	private Optional<LeaderFailover> failover = Optional.empty();

	private StoreRole(String self, Duration activationDelay) {
		this.self = self;
		this.leader = self;
		this.leaderOrder = new LeaderOrder(self);
		this.staleness = LeaderStaleness.of(activationDelay);
		this.maxUninformedNanos = (long) (activationDelay.toNanos() * MAX_UNINFORMED_SHARE);
	}

	/**
	 * Returns the initial state of an entry, which reads the store itself, with the
	 * default activation delay.
	 */
	public static StoreRole of(String self) {
		return of(self, DEFAULT_ACTIVATION_DELAY);
	}

	/**
	 * Returns the initial state of an entry, which reads the store itself.
	 * @param activationDelay from a declaration until it takes effect
	 */
	public static StoreRole of(String self, Duration activationDelay) {
		return new StoreRole(self, activationDelay);
	}

	/**
	 * Returns whether this entry is a follower, which includes the time of a failover.
	 */
	public boolean isFollower() {
		return this.stage == Stage.FOLLOWING || this.stage == Stage.FAILING_OVER;
	}

	/**
	 * Returns whether this entry follows a leader that it has not lost.
	 */
	public boolean hasLeader() {
		return this.stage == Stage.FOLLOWING;
	}

	/**
	 * Returns whether this entry accepts state updates from a peer.
	 */
	public boolean acceptsUpdatesFrom(String peer) {
		return isCandidate(peer) || (this.stage != Stage.READING && peer.equals(this.leader));
	}

	/**
	 * Returns the time since the leader was last heard, or the one that was lost last,
	 * rounded up; empty when this entry never followed any.
	 */
	public OptionalLong millisSinceLeaderHeard(long nowNanos) {
		OptionalLong heard = hasLeader() ? OptionalLong.of(this.lastEventNanos)
				: this.failover.map(LeaderFailover::leaderHeardNanos)
					.map(OptionalLong::of)
					.orElse(OptionalLong.empty());
		return heard.isEmpty() ? heard
				: OptionalLong.of(Math.ceilDiv(Math.max(0, nowNanos - heard.getAsLong()), NANOS_PER_MILLI));
	}

	/**
	 * Records the time as of which the routes that a peer sends are confirmed.
	 */
	public void routesConfirmed(String peer, long nanos) {
		if (acceptsUpdatesFrom(peer)) {
			this.staleness.confirmed(peer, nanos);
		}
	}

	/**
	 * Returns what is to be done now.
	 * @param group the other live entries of this entry's group; empty when each entry
	 * reads the store itself
	 * @param mayFollow whether this entry may become a follower: it has the full state,
	 * the store answers it and it has no followers
	 */
	public List<Step> tick(Collection<String> group, boolean mayFollow, long nowNanos) {
		this.group = List.copyOf(group);
		return switch (this.stage) {
			case READING -> tickReading(group, mayFollow, nowNanos);
			case ASKED -> tickAsked(group, mayFollow, nowNanos);
			case FOLLOWING -> (!group.contains(this.leader) || nowNanos - this.lastEventNanos > LEADER_TIMEOUT_NANOS)
					? onLeaderLost(this.lastEventNanos, nowNanos) : reconsiderLeader(nowNanos);
			case FAILING_OVER -> continueFailover((failover) -> failover.tick(this.group, nowNanos), nowNanos);
		};
	}

	/**
	 * Handles a status from the leader, or from a peer that was asked.
	 * @param current whether the store answers that entry
	 * @param complete whether all objects of all kinds have been received from it
	 */
	public List<Step> statusReceived(String peer, boolean current, boolean complete, long nowNanos) {
		if (!acceptsUpdatesFrom(peer)) {
			return List.of();
		}
		if (isCandidate(peer)) {
			return onCandidateStatus(peer, current, complete, nowNanos);
		}
		return switch (this.stage) {
			case READING -> List.of();
			case ASKED -> current ? onAnswer(complete, nowNanos) : stopFollowing(nowNanos);
			case FOLLOWING -> current ? onConfirmation(nowNanos) : onLeaderLost(lastInformedNanos(), nowNanos);
			case FAILING_OVER -> (current && complete) ? onConfirmation(nowNanos)
					: continueFailover((failover) -> failover.answered(peer, current, nowNanos), nowNanos);
		};
	}

	/**
	 * Handles the answer of a peer that was asked, is not current and tells when it last
	 * heard its leader.
	 * @param leaderHeardAgoNanos the time from when it last heard its leader to its
	 * answer
	 */
	public List<Step> followerStatusReceived(String peer, long leaderHeardAgoNanos, long nowNanos) {
		return (this.stage == Stage.FAILING_OVER && acceptsUpdatesFrom(peer)) ? continueFailover(
				(failover) -> failover.answeredAsFollower(peer, leaderHeardAgoNanos, this.group, nowNanos), nowNanos)
				: statusReceived(peer, false, false, nowNanos);
	}

	private List<Step> tickReading(Collection<String> group, boolean mayFollow, long nowNanos) {
		Optional<String> elected = this.leaderOrder.leader(group, nowNanos);
		if (!mayFollow || elected.isEmpty()) {
			enterStage(Stage.READING, this.self, nowNanos);
			return List.of();
		}
		if (!elected.get().equals(this.leader)) {
			enterStage(Stage.READING, elected.get(), nowNanos);
			return List.of();
		}
		if (nowNanos - this.lastEventNanos < SETTLE_NANOS) {
			return List.of();
		}
		enterStage(Stage.ASKED, this.leader, nowNanos);
		return List.of(new Step.Ask(this.leader));
	}

	private List<Step> tickAsked(Collection<String> group, boolean mayFollow, long nowNanos) {
		boolean timedOut = nowNanos - this.lastEventNanos > ANSWER_TIMEOUT_NANOS;
		return (timedOut || !mayFollow || !group.contains(this.leader)) ? stopFollowing(nowNanos) : List.of();
	}

	private List<Step> onAnswer(boolean complete, long nowNanos) {
		if (!complete) {
			return List.of();
		}
		enterStage(Stage.FOLLOWING, this.leader, nowNanos);
		return List.of(new Step.Rest());
	}

	private List<Step> onConfirmation(long nowNanos) {
		enterStage(Stage.FOLLOWING, this.leader, nowNanos);
		// A leader that has just begun to read gets as much time as its routes may be
		// stale.
		boolean stale = this.staleness.isStale(this.leader, nowNanos)
				&& this.staleness.isOverdue(this.leaderSinceNanos, nowNanos);
		if (!stale || this.staleSinceNanos.isEmpty()) {
			this.staleSinceNanos = stale ? OptionalLong.of(nowNanos) : OptionalLong.empty();
		}
		return List.of();
	}

	private List<Step> reconsiderLeader(long nowNanos) {
		if (this.candidate.isPresent()) {
			boolean timedOut = nowNanos - this.candidateNanos > ANSWER_TIMEOUT_NANOS;
			return (timedOut || !this.group.contains(this.candidate.get())) ? rejectCandidate(nowNanos) : List.of();
		}
		if (this.staleSinceNanos.isPresent()) {
			return replaceStaleLeader(nowNanos - this.staleSinceNanos.getAsLong(), nowNanos);
		}
		return askCandidate(this.leaderOrder.leader(this.group, nowNanos).filter((first) -> !first.equals(this.leader)),
				nowNanos);
	}

	private List<Step> replaceStaleLeader(long staleForNanos, long nowNanos) {
		List<String> order = this.leaderOrder.candidates(this.group, nowNanos)
			.stream()
			.filter((name) -> !name.equals(this.leader))
			.limit(MAX_STALE_LEADER_REPLACEMENTS)
			.toList();
		int started = (int) Math.min(order.size(), 1 + staleForNanos / STALE_LEADER_STAGGER_NANOS);
		int rank = order.indexOf(this.self);
		if (rank >= 0 && rank < started) {
			Step dismiss = new Step.Dismiss(this.leader);
			this.leaderOrder.suspect(this.leader, nowNanos);
			enterStage(Stage.READING, this.self, nowNanos);
			return List.of(dismiss, new Step.Read());
		}
		if (nowNanos - this.candidateNanos < ANSWER_TIMEOUT_NANOS) {
			return List.of();
		}
		this.staleLeaderAttempts++;
		return askCandidate(Optional.of(order.get(this.staleLeaderAttempts % started)), nowNanos);
	}

	private List<Step> askCandidate(Optional<String> peer, long nowNanos) {
		this.candidate = peer;
		peer.ifPresent((name) -> this.candidateNanos = nowNanos);
		return peer.<List<Step>>map((name) -> List.of(new Step.Ask(name))).orElse(List.of());
	}

	private List<Step> onCandidateStatus(String peer, boolean current, boolean complete, long nowNanos) {
		if (!current) {
			rejectCandidate(nowNanos);
			return List.of();
		}
		if (!complete || this.staleness.isStale(peer, nowNanos)) {
			return List.of();
		}
		Step dismiss = new Step.Dismiss(this.leader);
		if (this.staleSinceNanos.isPresent()) {
			this.leaderOrder.suspect(this.leader, nowNanos);
		}
		this.candidate = Optional.empty();
		enterStage(Stage.FOLLOWING, peer, nowNanos);
		return List.of(dismiss);
	}

	private List<Step> rejectCandidate(long nowNanos) {
		// A candidate that replaces a leader with stale routes may only have started to
		// read.
		if (this.staleSinceNanos.isEmpty()) {
			this.candidate.ifPresent((peer) -> this.leaderOrder.suspect(peer, nowNanos));
		}
		return dismissCandidate();
	}

	private List<Step> dismissCandidate() {
		List<Step> steps = this.candidate.<List<Step>>map((peer) -> List.of(new Step.Dismiss(peer))).orElse(List.of());
		this.candidate = Optional.empty();
		return steps;
	}

	private boolean isCandidate(String peer) {
		return this.candidate.equals(Optional.of(peer));
	}

	private List<Step> stopFollowing(long nowNanos) {
		Step dismiss = new Step.Dismiss(this.leader);
		this.leaderOrder.suspect(this.leader, nowNanos);
		enterStage(Stage.READING, this.self, nowNanos);
		return List.of(dismiss);
	}

	// A leader that reports that the store does not answer it may have been without
	// updates
	// for longer than since its last message.
	private long lastInformedNanos() {
		long confirmed = this.staleness.confirmedAt(this.leader).orElse(this.lastEventNanos);
		return (confirmed - this.lastEventNanos < 0) ? confirmed : this.lastEventNanos;
	}

	private List<Step> onLeaderLost(long lastInformedNanos, long nowNanos) {
		List<Step> steps = new ArrayList<>(dismissCandidate());
		steps.add(new Step.Dismiss(this.leader));
		this.leaderOrder.suspect(this.leader, nowNanos);
		long freshnessDeadlineNanos = lastInformedNanos + this.maxUninformedNanos;
		this.failover = Optional.of(LeaderFailover.begin(this.leaderOrder, this.group, this.lastEventNanos,
				freshnessDeadlineNanos, nowNanos));
		enterStage(Stage.FAILING_OVER, this.self, nowNanos);
		steps.addAll(continueFailover((failover) -> failover.tick(this.group, nowNanos), nowNanos));
		return steps;
	}

	private List<Step> continueFailover(Function<LeaderFailover, List<Step>> next, long nowNanos) {
		LeaderFailover failover = this.failover.orElseThrow();
		List<Step> steps = next.apply(failover);
		if (steps.contains(new Step.Read())) {
			enterStage(Stage.READING, this.self, nowNanos);
		}
		else {
			enterStage(Stage.FAILING_OVER, failover.askedPeer().orElse(this.self), nowNanos);
		}
		return steps;
	}

	private void enterStage(Stage next, String nextLeader, long nowNanos) {
		if (next != this.stage || !nextLeader.equals(this.leader)) {
			this.leaderSinceNanos = nowNanos;
			this.staleSinceNanos = OptionalLong.empty();
			this.staleness.retainOnly(nextLeader);
		}
		this.stage = next;
		this.leader = nextLeader;
		this.lastEventNanos = nowNanos;
	}

	/**
	 * An action of an entry towards its peers or the store.
	 */
	public sealed interface Step {

		/**
		 * Request the store's state and its changes from an entry.
		 *
		 * @param entry its name
		 */
		record Ask(String entry) implements Step {
		}

		/**
		 * Cancel the request to an entry.
		 *
		 * @param entry its name
		 */
		record Dismiss(String entry) implements Step {
		}

		/** Stop reading the store, and follow the leader. */
		record Rest() implements Step {
		}

		/** Resume reading the store, from where this entry stopped. */
		record Read() implements Step {
		}

	}

	private enum Stage {

		READING, ASKED, FOLLOWING, FAILING_OVER

	}

}
