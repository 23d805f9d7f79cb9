package org.wisteriapost.policy.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Keeps requests with a part of the prompt that crashes runners from these.
 *
 * Such requests need have nothing else in common, and sound requests share all their
 * other parts. So a part is suspected of each crash of a runner at which a request with
 * it had not begun, or had just begun. An answer that began later and went on clears it;
 * entries tell each other both, the latter of parts that are suspected.
 */
final class PartQuarantine {

	private static final long EXPIRY_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	// A request may name hundreds of parts, and each change is a line of the log.
	private static final int MAX_REPORTED_PARTS = 16;

	private final PartTable table;

	private final AnsweredParts answered = new AnsweredParts();

	private Map<Set<Long>, Verdict> verdicts = Map.of();

	// Runners whose crashes the detected parts explain.
	private Set<Long> explainedRunners = Set.of();

	// The most losses of any part that was lost with a runner.
	private Map<Long, Integer> mostLosses = Map.of();

	private Set<Long> lostRunners = Set.of();

	private long decisions;

	private boolean decisionDue;

	private long nextDecisionNanos = Long.MAX_VALUE;

	private long nextExpiryNanos = Long.MIN_VALUE;

	PartQuarantine(ChangeSequence changes) {
		this.table = new PartTable(changes);
	}

	/**
	 * Records that a runner crashed before a request with these parts had gone on. Other
	 * entries are told first of parts that no answer is known to have gone on with: until
	 * they know these, nothing else would explain the losses of sound ones.
	 * @return the changes of the parts with the most losses
	 */
	List<QuarantineChange.PartSuspected> runnerLost(PromptParts lost, long runner, long lostNanos, long nowNanos) {
		return lost.suspects()
			.stream()
			.sorted(Comparator.comparing((Long id) -> this.answered.begunNanos(id).isPresent())
				.thenComparing(Comparator.naturalOrder()))
			.flatMap((id) -> partLost(id, new SuspectRequest.Loss(runner, lostNanos), nowNanos).stream())
			.sorted(Comparator.comparingInt(QuarantineChange.PartSuspected::losses).reversed())
			.limit(MAX_REPORTED_PARTS)
			.toList();
	}

	private Optional<QuarantineChange.PartSuspected> partLost(long id, SuspectRequest.Loss loss, long nowNanos) {
		SuspectPart part = new SuspectPart(id, List.of(loss), this.answered.begunNanos(id));
		if (!merge(part, Optional.empty(), nowNanos)) {
			return Optional.empty();
		}
		int losses = this.table.get(id).map(SuspectPart::losses).orElse(List.of()).size();
		return (losses > 0) ? Optional.of(new QuarantineChange.PartSuspected(id, losses)) : Optional.empty();
	}

	/**
	 * Records that an answer to a request with these parts has begun and gone on.
	 */
	void answered(PromptParts parts, long begunNanos, long nowNanos) {
		for (long id : parts.suspects()) {
			this.answered.add(id, begunNanos);
			if (this.table.get(id).filter((part) -> part.clearedBy(begunNanos)).isPresent()) {
				merge(new SuspectPart(id, List.of(), OptionalLong.of(begunNanos)), Optional.empty(), nowNanos);
			}
		}
	}

	/**
	 * Adds what another entry reports.
	 */
	void merge(SuspectPart told, String source, long nowNanos) {
		merge(told, Optional.of(source), nowNanos);
	}

	private boolean merge(SuspectPart told, Optional<String> source, long nowNanos) {
		SuspectPart own = new SuspectPart(told.id(), List.of(), this.answered.begunNanos(told.id()));
		boolean changed = this.table.merge(told, own, source, nowNanos);
		this.decisionDue |= changed;
		return changed;
	}

	List<PartTable.Row> changedSince(long change, int limit) {
		return this.table.changedSince(change, limit);
	}

	/**
	 * Returns for how long requests with these parts are refused, if they are.
	 */
	OptionalLong remainingNanos(PromptParts parts, long nowNanos) {
		long until = Long.MIN_VALUE;
		for (Verdict verdict : this.verdicts.values()) {
			if (parts.suspects().containsAll(verdict.parts)) {
				until = Math.max(until, verdict.untilNanos);
			}
		}
		return (until > nowNanos) ? OptionalLong.of(until - nowNanos) : OptionalLong.empty();
	}

	/**
	 * Returns whether a part rather than the request is suspected of a crash: the part is
	 * known to be the cause, or it has more losses than the request and nothing speaks
	 * for it yet.
	 */
	boolean explains(SuspectRequest.Loss loss, SuspectRequest request) {
		return this.explainedRunners.contains(loss.runner())
				|| this.mostLosses.getOrDefault(loss.runner(), 0) > request.losses().size();
	}

	/**
	 * Returns whether a request was lost together with parts of prompts, one of which may
	 * be the cause.
	 */
	boolean involvedIn(SuspectRequest request) {
		return request.losses().stream().anyMatch((loss) -> this.lostRunners.contains(loss.runner()));
	}

	/**
	 * Returns the number of decisions so far.
	 */
	long decisions() {
		return this.decisions;
	}

	int size() {
		return this.verdicts.size();
	}

	/**
	 * Decides anew when something has changed, and returns what that changes.
	 */
	List<QuarantineChange> tick(long nowNanos) {
		if (nowNanos >= this.nextExpiryNanos) {
			this.nextExpiryNanos = nowNanos + EXPIRY_INTERVAL_NANOS;
			this.table.expire(nowNanos);
			this.decisionDue |= !this.verdicts.isEmpty();
		}
		if (!this.decisionDue && nowNanos < this.nextDecisionNanos) {
			return List.of();
		}
		this.decisionDue = false;
		return decide(nowNanos);
	}

	private List<QuarantineChange> decide(long nowNanos) {
		this.decisions++;
		this.nextDecisionNanos = Long.MAX_VALUE;
		Map<Set<Long>, Verdict> decided = new HashMap<>();
		Set<Long> explained = new HashSet<>();
		List<SuspectPart> parts = this.table.parts();
		for (BadPartDetector.Group group : BadPartDetector.detect(parts)) {
			long until = group.lastLossNanos() + RequestQuarantine.durationNanos(group.runners().size());
			if (nowNanos < group.certainNanos()) {
				this.nextDecisionNanos = Math.min(this.nextDecisionNanos, group.certainNanos());
				continue;
			}
			explained.addAll(group.runners());
			if (until > nowNanos) {
				decided.put(group.parts(), new Verdict(group.parts(), until, group.runners().size()));
			}
		}
		List<QuarantineChange> changes = changes(decided, nowNanos);
		this.verdicts = decided;
		this.explainedRunners = explained;
		this.mostLosses = mostLosses(parts);
		this.lostRunners = parts.stream()
			.flatMap((part) -> part.losses().stream())
			.map(SuspectRequest.Loss::runner)
			.collect(Collectors.toSet());
		return changes;
	}

	private static Map<Long, Integer> mostLosses(List<SuspectPart> parts) {
		Map<Long, Integer> most = new HashMap<>();
		parts.stream()
			.filter((part) -> part.losses().size() > PoisonDetector.THRESHOLD)
			.forEach((part) -> part.losses()
				.forEach((loss) -> most.merge(loss.runner(), part.losses().size(), Math::max)));
		return most;
	}

	private List<QuarantineChange> changes(Map<Set<Long>, Verdict> decided, long nowNanos) {
		List<QuarantineChange> changes = new ArrayList<>();
		decided.values()
			.stream()
			.filter((verdict) -> !this.verdicts.containsKey(verdict.parts))
			.forEach((verdict) -> changes.add(new QuarantineChange.PartsQuarantined(verdict.parts, verdict.losses,
					Duration.ofNanos(verdict.untilNanos - nowNanos).toMillis())));
		this.verdicts.keySet()
			.stream()
			.filter((parts) -> !decided.containsKey(parts))
			.forEach((parts) -> changes.add(new QuarantineChange.PartsReleased(parts)));
		return changes;
	}

	private record Verdict(Set<Long> parts, long untilNanos, int losses) {
	}

}
