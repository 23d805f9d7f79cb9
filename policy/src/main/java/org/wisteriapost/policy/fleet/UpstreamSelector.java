package org.wisteriapost.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the entry through which this one follows the site's store while the store does
 * not answer it.
 *
 * The store may refuse some machines for many seconds while runners register and leave,
 * tokens are revoked and target weights versions change; links between regions are narrow
 * and the objects many. Without an upstream, callers of such an entry would be refused
 * for lack of runners that are long registered, or sent to ones that have left. Asked of
 * many entries at a time, links would stay full of transfers that are aborted and
 * restarted.
 *
 * One entry is asked at a time, and the request to the former is cancelled: this costs
 * nothing while the store answers, and otherwise one message a change. The nearest are
 * asked first, in an order that differs between entries, so that not all ask the same
 * one. While nobody answers, each gets twice the time of the one before, so that an
 * answer completes in the end even over a full link.
 */
public final class UpstreamSelector {

	// An idle link carries a message in a few milliseconds; an entry that has not
	// answered
	// by then is unreachable or overloaded, and the next one is asked.
	private static final long MIN_ANSWER_TIMEOUT_NANOS = Duration.ofMillis(600).toNanos();

	private static final long MAX_ANSWER_TIMEOUT_NANOS = Duration.ofSeconds(4).toNanos();

	// Over a full link heartbeats queue behind objects.
	private static final long UPSTREAM_TIMEOUT_NANOS = Duration.ofSeconds(4).toNanos();

	// Followers answer at once that they do not read the store; asking all of them
	// without
	// a pause would cost more than reading the store does.
	private static final long MIN_ROUND_NANOS = Duration.ofSeconds(1).toNanos();

	private final String self;

	private boolean storeUnreachable;

	private Optional<String> upstream = Optional.empty();

	// The entry asked most recently, also when it is no longer the upstream.
	private Optional<String> lastAsked = Optional.empty();

	private Answer answer = Answer.NONE;

	private long askedNanos;

	private long heardNanos;

	private long answerTimeoutNanos = MIN_ANSWER_TIMEOUT_NANOS;

	private final Set<String> triedThisRound = new HashSet<>();

	private long roundStartNanos;

	private boolean answeredThisRound;

	private UpstreamSelector(String self) {
		this.self = self;
	}

	public static UpstreamSelector of(String self) {
		return new UpstreamSelector(self);
	}

	/**
	 * Records whether the store answers this entry. Returns the entry whose request is to
	 * be cancelled.
	 */
	public Optional<String> storeReachabilityChanged(boolean reachable) {
		this.storeUnreachable = !reachable;
		Optional<String> former = reachable ? this.upstream : Optional.empty();
		if (reachable) {
			reset();
		}
		return former;
	}

	/**
	 * Returns whether this entry accepts state updates from a peer: it was asked, and the
	 * store itself does not answer.
	 */
	public boolean acceptsUpdatesFrom(String peer) {
		return this.storeUnreachable && this.upstream.equals(Optional.of(peer));
	}

	/**
	 * Handles the answer of the entry that was asked.
	 * @param current whether the store answers that entry
	 */
	public void answerReceived(boolean current, long nowNanos) {
		this.heardNanos = nowNanos;
		this.answer = current ? Answer.CURRENT : Answer.NOT_CURRENT;
		if (current) {
			this.answeredThisRound = true;
			this.answerTimeoutNanos = MIN_ANSWER_TIMEOUT_NANOS;
		}
	}

	/**
	 * Handles a heartbeat of the upstream, which carries no objects.
	 */
	public void heartbeatReceived(long nowNanos) {
		this.heardNanos = nowNanos;
	}

	/**
	 * Returns which entry to ask now, if any, and which request to cancel.
	 * @param linked the entries to which there is a link
	 */
	public List<Step> tick(Collection<LinkedEntry> linked, long nowNanos) {
		if (!this.storeUnreachable) {
			return List.of();
		}
		boolean usable = this.answer != Answer.NOT_CURRENT && !isSilent(nowNanos)
				&& linked.stream().anyMatch((entry) -> this.upstream.equals(Optional.of(entry.name())));
		boolean timedOut = this.answer == Answer.NONE && nowNanos - this.askedNanos >= this.answerTimeoutNanos;
		if (usable && !timedOut) {
			return List.of();
		}
		Optional<String> next = nextCandidate(linked, nowNanos);
		if (usable && next.isEmpty()) {
			// Its answer may be in flight, and no other entry is left.
			return List.of();
		}
		if (usable) {
			this.answerTimeoutNanos = Math.min(2 * this.answerTimeoutNanos, MAX_ANSWER_TIMEOUT_NANOS);
		}
		return switchTo(next, nowNanos);
	}

	// An upstream sends something every half second. One that is silent has restarted, or
	// its message that it is no longer current was lost, and it no longer knows this
	// entry:
	// its last state would be used for as long as the store does not answer.
	private boolean isSilent(long nowNanos) {
		return this.answer == Answer.CURRENT && nowNanos - this.heardNanos > UPSTREAM_TIMEOUT_NANOS;
	}

	private List<Step> switchTo(Optional<String> next, long nowNanos) {
		List<Step> steps = new ArrayList<>();
		this.upstream.filter((former) -> !next.equals(Optional.of(former)))
			.ifPresent((former) -> steps.add(new Step.Dismiss(former)));
		next.ifPresent((entry) -> {
			steps.add(new Step.Ask(entry));
			this.triedThisRound.add(entry);
			this.lastAsked = next;
		});
		this.upstream = next;
		this.answer = Answer.NONE;
		this.askedNanos = nowNanos;
		return steps;
	}

	// Each entry is asked once in a round. A new round begins when all have been asked or
	// one has been the upstream for a while; the entry that was asked last is not the
	// first
	// of it.
	private Optional<String> nextCandidate(Collection<LinkedEntry> linked, long nowNanos) {
		List<String> order = orderByDistance(linked);
		boolean roundOver = this.answeredThisRound || this.triedThisRound.containsAll(order);
		if (this.triedThisRound.isEmpty() || (roundOver && nowNanos - this.roundStartNanos >= MIN_ROUND_NANOS)) {
			this.triedThisRound.clear();
			this.answeredThisRound = false;
			this.roundStartNanos = nowNanos;
		}
		List<String> remaining = order.stream().filter((entry) -> !this.triedThisRound.contains(entry)).toList();
		return remaining.stream()
			.filter((entry) -> !this.lastAsked.equals(Optional.of(entry)))
			.findFirst()
			.or(() -> remaining.stream().findFirst());
	}

	private List<String> orderByDistance(Collection<LinkedEntry> linked) {
		Map<LinkedEntry.Distance, List<String>> byDistance = new EnumMap<>(LinkedEntry.Distance.class);
		linked.forEach((entry) -> byDistance.computeIfAbsent(entry.distance(), (distance) -> new ArrayList<>())
			.add(entry.name()));
		return byDistance.values()
			.stream()
			.flatMap((names) -> RendezvousHashing.rank(names, this.self).stream())
			.toList();
	}

	private void reset() {
		this.upstream = Optional.empty();
		this.lastAsked = Optional.empty();
		this.answer = Answer.NONE;
		this.answerTimeoutNanos = MIN_ANSWER_TIMEOUT_NANOS;
		this.triedThisRound.clear();
		this.answeredThisRound = false;
	}

	/**
	 * A message to another entry while the store does not answer this one.
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

	}

	private enum Answer {

		NONE, CURRENT, NOT_CURRENT

	}

}
