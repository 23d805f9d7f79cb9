package org.wisteriapost.policy.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.fleet.RunnerInfo;

/**
 * Keeps poison requests from runners.
 *
 * The caller of a poison request retries it at any entry, and each attempt would crash a
 * runner with all the requests that run there. Entries tell each other which requests
 * were in progress at the runners that they lost, and refuse a request that
 * {@link PoisonDetector} recognises. A quarantine ends by itself: the request may have
 * been refused wrongly, or a new version of the runners may bear it. The losses are
 * remembered for longer, so that one further crash renews the quarantine, for twice as
 * long.
 */
public final class RequestQuarantine {

	/** The request has crashed the runners that it was sent to. */
	public static final Code POISON_REQUEST = Code.refusal("poison-request",
			"Runners crashed each time that they ran the request.");

	// Longer than callers repeat a request, and short enough to try again after a repair.
	private static final Duration MIN_DURATION = Duration.ofMinutes(5);

	private static final int MAX_DOUBLINGS = 3;

	private static final long EXPIRY_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	private final ChangeSequence sequence = new ChangeSequence();

	private final SuspectTable table = new SuspectTable(this.sequence);

	private final PartQuarantine parts = new PartQuarantine(this.sequence);

	private final UnconfirmedLosses<Long> unconfirmed = new UnconfirmedLosses<>();

	private final UnconfirmedLosses<PromptParts> unconfirmedParts = new UnconfirmedLosses<>();

	private final CompletedRequests completed = new CompletedRequests();

	private final Map<Long, Long> quarantinedUntil = new HashMap<>();

	// Requests whose losses a part of prompts may explain, and when that is decided.
	private Map<Long, Long> undecided = Map.of();

	private List<QuarantineChange> changes = new ArrayList<>();

	// A loss was added that may put requests in quarantine.
	private Optional<DueDecision> dueDecision = Optional.empty();

	private long nextExpiryNanos = Long.MIN_VALUE;

	// What the runners do.

	/**
	 * Records that the connection to a runner ended while it processed a request.
	 */
	public void runnerLost(long contentHash, RunnerInfo runner, long nowNanos) {
		this.unconfirmed.add(contentHash, runner, nowNanos);
	}

	/**
	 * Records that the connection to a runner ended before the answer to a request with
	 * these parts had gone on.
	 */
	public void runnerLost(PromptParts lost, RunnerInfo runner, long nowNanos) {
		if (!lost.suspects().isEmpty()) {
			this.unconfirmedParts.add(lost, runner, nowNanos);
		}
	}

	/**
	 * Records that the answer to a request with these parts has begun and gone on.
	 */
	public void partsAnswered(PromptParts answered, long begunNanos, long nowNanos) {
		this.parts.answered(answered, begunNanos, nowNanos);
	}

	/**
	 * Records the same of a runner that only its agent can connect to.
	 * @param runner hash of its name
	 */
	public void runnerLost(long contentHash, long runner, long nowNanos) {
		this.unconfirmed.add(contentHash, runner, nowNanos);
	}

	/**
	 * Records that a runner has answered: it has not crashed.
	 * @param runner hash of its name
	 */
	public void runnerAnswered(long runner, long nowNanos) {
		this.unconfirmed.runnerAnswered(runner, nowNanos);
		this.unconfirmedParts.runnerAnswered(runner, nowNanos);
	}

	/**
	 * Records that a runner has answered: it has not crashed.
	 */
	public void runnerAnswered(RunnerInfo runner, long nowNanos) {
		if (anyUnconfirmed()) {
			runnerAnswered(runner.incarnationHash(), nowNanos);
		}
	}

	/**
	 * Returns the runners for which to check now whether they accept connections, each
	 * once.
	 */
	public List<RunnerInfo> runnersToCheck(long nowNanos) {
		if (!anyUnconfirmed()) {
			return List.of();
		}
		return Stream
			.concat(this.unconfirmed.removeRunnersToCheck(nowNanos).stream(),
					this.unconfirmedParts.removeRunnersToCheck(nowNanos).stream())
			.distinct()
			.toList();
	}

	/**
	 * Records the result of the check of a runner.
	 * @param accepts whether the runner has accepted a connection
	 */
	public void runnerChecked(RunnerInfo runner, boolean accepts, long nowNanos) {
		if (accepts) {
			this.unconfirmed.runnerAccepts(runner.incarnationHash());
			this.unconfirmedParts.runnerAccepts(runner.incarnationHash());
			return;
		}
		this.unconfirmed.removeLossesOf(runner.incarnationHash()).forEach((loss) -> confirm(loss, nowNanos));
		this.unconfirmedParts.removeLossesOf(runner.incarnationHash()).forEach((loss) -> confirmParts(loss, nowNanos));
	}

	/**
	 * Records that a runner has completed a request, which a poison request never is.
	 * Only runners that were lost later count against it: a new version of the runners
	 * may crash on a request that the former one has completed.
	 * @param begunNanos when the run began, or a time before
	 */
	public void requestCompleted(long contentHash, long begunNanos) {
		this.completed.add(contentHash, begunNanos);
		this.unconfirmed.requestCompleted(contentHash, begunNanos);
		this.table.get(contentHash)
			.filter((suspect) -> suspect.losses().stream().anyMatch((loss) -> loss.atNanos() <= begunNanos))
			.ifPresent((suspect) -> merge(new SuspectRequest(contentHash, List.of(), OptionalLong.of(begunNanos)),
					Optional.empty(), begunNanos));
	}

	/**
	 * Confirms losses and ends quarantines.
	 */
	public void tick(long nowNanos) {
		this.unconfirmed.removeOverdue(nowNanos).forEach((loss) -> confirm(loss, nowNanos));
		this.unconfirmedParts.removeOverdue(nowNanos).forEach((loss) -> confirmParts(loss, nowNanos));
		decideOnParts(nowNanos);
		if (this.undecided.values().stream().anyMatch((certain) -> nowNanos >= certain)) {
			decide(Optional.empty(), nowNanos);
		}
		if (nowNanos >= this.nextExpiryNanos) {
			this.nextExpiryNanos = nowNanos + EXPIRY_INTERVAL_NANOS;
			if (this.table.expire(nowNanos) || !this.quarantinedUntil.isEmpty()) {
				decide(Optional.empty(), nowNanos);
			}
		}
	}

	// What other entries report.

	/**
	 * Adds what another entry reports of a request.
	 */
	public void merge(SuspectRequest suspect, String source, long nowNanos) {
		merge(suspect, Optional.of(source), nowNanos);
	}

	/**
	 * Records that some runner has completed a request, according to another entry.
	 */
	public void mergeCompletion(long contentHash, long completedNanos, String source, long nowNanos) {
		if (nowNanos - completedNanos < SuspectRequest.COMPLETION_TTL.toNanos()) {
			merge(new SuspectRequest(contentHash, List.of(), OptionalLong.of(completedNanos)), source, nowNanos);
		}
	}

	/**
	 * Adds what another entry reports of a part of prompts.
	 */
	public void merge(SuspectPart part, String source, long nowNanos) {
		this.parts.merge(part, source, nowNanos);
	}

	/**
	 * Returns the number of the latest change of what other entries are told.
	 */
	public long lastChange() {
		return this.sequence.last();
	}

	/**
	 * Returns what has changed since, the oldest change first.
	 * @param peer the entry to tell; what came from it is left out
	 */
	public Updates updatesSince(long change, String peer, int limit) {
		List<SuspectTable.Row> rows = this.table.changedSince(change, limit);
		List<PartTable.Row> partRows = this.parts.changedSince(change, limit);
		// The rest follows with the next report.
		long last = LongStream
			.concat(rows.stream().mapToLong(SuspectTable.Row::change),
					partRows.stream().mapToLong(PartTable.Row::change))
			.sorted()
			.limit(limit)
			.max()
			.orElse(change);
		List<Update> updates = rows.stream()
			.filter((row) -> row.change() <= last)
			.filter((row) -> !row.source().equals(Optional.of(peer)))
			.map((row) -> new Update(row.suspect(), row.suspect().completedNanos()))
			.toList();
		List<SuspectPart> suspectParts = partRows.stream()
			.filter((row) -> row.change() <= last)
			.filter((row) -> !row.source().equals(Optional.of(peer)))
			.map(PartTable.Row::part)
			.toList();
		return new Updates(updates, suspectParts, last);
	}

	// Decisions.

	/**
	 * Returns for how long a request is not to be sent to runners, if it is a poison
	 * request.
	 */
	public OptionalLong remainingNanos(long contentHash, long nowNanos) {
		decideIfDue();
		Long until = this.quarantinedUntil.get(contentHash);
		return (until != null && until > nowNanos) ? OptionalLong.of(until - nowNanos) : OptionalLong.empty();
	}

	/**
	 * Returns the same for a request with these parts.
	 */
	public OptionalLong remainingNanos(long contentHash, PromptParts named, long nowNanos) {
		OptionalLong remaining = remainingNanos(contentHash, nowNanos);
		return remaining.isPresent() ? remaining : this.parts.remainingNanos(named, nowNanos);
	}

	/**
	 * Returns whether a loss that is still to be confirmed decides whether a request is a
	 * poison request.
	 */
	public boolean undecided(long contentHash) {
		if (this.undecided.containsKey(contentHash)) {
			return true;
		}
		if (this.unconfirmed.isEmpty()) {
			return false;
		}
		int unconfirmedLosses = this.unconfirmed.count(contentHash);
		// All of them are of one moment.
		int counted = this.completed.contains(contentHash) ? Math.min(1, unconfirmedLosses) : unconfirmedLosses;
		return counted > 0 && countedLosses(contentHash) + counted >= PoisonDetector.THRESHOLD;
	}

	private int countedLosses(long contentHash) {
		return this.table.get(contentHash).map(SuspectRequest::countedLosses).orElse(0);
	}

	/**
	 * Returns the number of requests and groups of parts in quarantine.
	 */
	public int size() {
		decideIfDue();
		return this.quarantinedUntil.size() + this.parts.size();
	}

	/**
	 * Returns the changes since the previous call, in order.
	 */
	public List<QuarantineChange> drainChanges() {
		decideIfDue();
		List<QuarantineChange> drained = this.changes;
		this.changes = new ArrayList<>();
		return drained;
	}

	private void confirm(UnconfirmedLosses.Unconfirmed<Long> loss, long nowNanos) {
		List<SuspectRequest.Loss> losses = List.of(new SuspectRequest.Loss(loss.runner(), loss.lostNanos()));
		merge(new SuspectRequest(loss.subject(), losses), Optional.empty(), nowNanos);
	}

	private void merge(SuspectRequest told, Optional<String> source, long nowNanos) {
		long contentHash = told.contentHash();
		int before = losses(contentHash);
		if (!this.table.merge(told, this.completed.begunNanos(contentHash, nowNanos), source, nowNanos)) {
			return;
		}
		int known = losses(contentHash);
		if (known > before) {
			this.changes.add(new QuarantineChange.Suspected(contentHash, known));
		}
		if (known < before) {
			this.changes.add(new QuarantineChange.Cleared(contentHash, source));
		}
		if (known >= PoisonDetector.THRESHOLD || this.quarantinedUntil.containsKey(contentHash)) {
			decisionDue(source, nowNanos);
		}
	}

	private int losses(long contentHash) {
		return this.table.get(contentHash).map((suspect) -> suspect.losses().size()).orElse(0);
	}

	private void confirmParts(UnconfirmedLosses.Unconfirmed<PromptParts> loss, long nowNanos) {
		this.changes.addAll(this.parts.runnerLost(loss.subject(), loss.runner(), loss.lostNanos(), nowNanos));
	}

	private void decideOnParts(long nowNanos) {
		long decisions = this.parts.decisions();
		this.changes.addAll(this.parts.tick(nowNanos));
		if (decisions != this.parts.decisions()) {
			decisionDue(Optional.empty(), nowNanos);
		}
		decideIfDue();
	}

	private boolean anyUnconfirmed() {
		return !this.unconfirmed.isEmpty() || !this.unconfirmedParts.isEmpty();
	}

	// A report has many losses, and a decision looks at all of them.
	private void decisionDue(Optional<String> source, long nowNanos) {
		this.dueDecision = Optional.of(new DueDecision(source, nowNanos));
	}

	private void decideIfDue() {
		this.dueDecision.ifPresent((due) -> {
			this.dueDecision = Optional.empty();
			this.changes.addAll(this.parts.tick(due.nowNanos));
			decide(due.source, due.nowNanos);
		});
	}

	private void decide(Optional<String> source, long nowNanos) {
		Map<Long, Long> decided = new HashMap<>();
		PoisonDetector.Verdicts verdicts = PoisonDetector.detect(this.table.suspects(), this.parts, nowNanos);
		this.undecided = verdicts.undecided();
		verdicts.poison().forEach((contentHash, counted) -> {
			long until = counted.lastLossNanos() + durationNanos(counted.losses().size());
			if (until > nowNanos) {
				decided.put(contentHash, until);
				if (!this.quarantinedUntil.containsKey(contentHash)) {
					this.changes.add(new QuarantineChange.Quarantined(contentHash, counted.losses().size(),
							Duration.ofNanos(until - nowNanos).toMillis(), source));
				}
			}
		});
		Set<Long> released = new HashSet<>(this.quarantinedUntil.keySet());
		released.removeAll(decided.keySet());
		released.forEach((contentHash) -> this.changes.add(new QuarantineChange.Released(contentHash)));
		this.quarantinedUntil.clear();
		this.quarantinedUntil.putAll(decided);
	}

	static long durationNanos(int losses) {
		return MIN_DURATION.toNanos() << Math.min(MAX_DOUBLINGS, losses - PoisonDetector.THRESHOLD);
	}

	/**
	 * What another entry is told of a request.
	 *
	 * @param suspect the request with its losses
	 * @param completedNanos when it was completed, if it was
	 */
	public record Update(SuspectRequest suspect, OptionalLong completedNanos) {
	}

	/**
	 * What another entry is told at a time.
	 *
	 * @param updates the updates of requests
	 * @param parts the suspect parts of prompts
	 * @param lastChange the number of the last change that they cover
	 */
	public record Updates(List<Update> updates, List<SuspectPart> parts, long lastChange) {

		/**
		 * Returns whether there is nothing to tell.
		 */
		public boolean isEmpty() {
			return this.updates.isEmpty() && this.parts.isEmpty();
		}

	}

	private record DueDecision(Optional<String> source, long nowNanos) {
	}

}
