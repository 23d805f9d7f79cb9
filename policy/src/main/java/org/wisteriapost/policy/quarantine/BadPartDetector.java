package org.wisteriapost.policy.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides which parts of prompts crash runners.
 *
 * Each crash ends many requests, whose parts are all lost with it. The part that causes
 * the crashes has the most losses, since no answer ever goes on with it; the crashes that
 * it explains do not count for others. Parts with the same losses cannot be told apart
 * and are detected as a group, which is found only in requests with all of them.
 *
 * Losses count by moments: a loss of power ends many runners at once and says nothing of
 * a request. The result depends on what is known of the parts alone, so that entries that
 * know the same agree.
 */
final class BadPartDetector {

	static final int MIN_MOMENTS = 3;

	private static final long MOMENT_NANOS = Duration.ofMillis(250).toNanos();

	// A part that was good shortly before is in many requests, of which some are in
	// progress at any crash.
	private static final long GOOD_MOMENT_NANOS = Duration.ofSeconds(1).toNanos();

	// A part that turns bad may crash all runners within a second. Then hardly any are
	// left
	// for further crashes, and so many losses do not come about by chance.
	private static final int MANY_LOSSES = 10;

	private static final long LATELY_NANOS = Duration.ofSeconds(10).toNanos();

	/** Time for other entries to report an answer that has gone on. */
	static final long OBJECTION_NANOS = Duration.ofMillis(500).toNanos();

	private static final Comparator<Candidate> BY_LOSSES = Comparator
		.comparingInt((Candidate candidate) -> -candidate.unexplained.size())
		.thenComparingLong((candidate) -> candidate.unexplained.getFirst().atNanos())
		.thenComparingLong((candidate) -> candidate.part.id());

	private BadPartDetector() {
	}

	/**
	 * Returns the groups of parts that crash runners.
	 */
	static List<Group> detect(Collection<SuspectPart> parts) {
		List<Candidate> candidates = parts.stream()
			.filter((part) -> part.losses().size() >= MIN_MOMENTS)
			.map((part) -> new Candidate(part, part.losses()))
			.toList();
		List<Group> groups = new ArrayList<>();
		Set<Long> explained = new HashSet<>();
		while (true) {
			List<List<Candidate>> alike = alike(candidates);
			List<Candidate> guilty = alike.stream()
				.filter((group) -> group.stream().anyMatch(Candidate::hasEnoughMoments))
				.findFirst()
				.orElse(List.of());
			if (guilty.isEmpty()) {
				return groups;
			}
			Group group = Group.of(guilty);
			groups.add(group);
			explained.addAll(group.runners);
			candidates = candidates.stream()
				.map((candidate) -> candidate.without(explained))
				.filter((candidate) -> candidate.unexplained.size() >= MIN_MOMENTS)
				.toList();
		}
	}

	// Candidates with the same losses, those with the most losses first.
	private static List<List<Candidate>> alike(List<Candidate> candidates) {
		Map<Set<Long>, List<Candidate>> byRunners = new HashMap<>();
		candidates.forEach((candidate) -> byRunners.computeIfAbsent(candidate.runners(), (key) -> new ArrayList<>())
			.add(candidate));
		return byRunners.values()
			.stream()
			.sorted(Comparator.comparing((group) -> group.stream().min(BY_LOSSES).orElseThrow(), BY_LOSSES))
			.toList();
	}

	/**
	 * Parts that crash runners. One of them does; with more than one, it is not known
	 * which.
	 *
	 * @param parts their ids
	 * @param runners the runners that have crashed
	 * @param lastLossNanos the last of these crashes
	 * @param certainNanos when other entries have had the time to object
	 */
	record Group(Set<Long> parts, Set<Long> runners, long lastLossNanos, long certainNanos) {

		private static Group of(List<Candidate> members) {
			long certain = members.stream()
				.filter(Candidate::hasEnoughMoments)
				.mapToLong(Candidate::decidingNanos)
				.min()
				.orElseThrow() + OBJECTION_NANOS;
			Candidate first = members.getFirst();
			return new Group(members.stream().map((member) -> member.part.id()).collect(Collectors.toSet()),
					first.runners(), first.unexplained.getLast().atNanos(), certain);
		}

	}

	private record Candidate(SuspectPart part, List<SuspectRequest.Loss> unexplained) {

		private Candidate without(Set<Long> explained) {
			return new Candidate(this.part,
					this.unexplained.stream().filter((loss) -> !explained.contains(loss.runner())).toList());
		}

		private Set<Long> runners() {
			return this.unexplained.stream().map(SuspectRequest.Loss::runner).collect(Collectors.toSet());
		}

		private boolean hasEnoughMoments() {
			return moments().size() >= MIN_MOMENTS;
		}

		private long decidingNanos() {
			return moments().get(MIN_MOMENTS - 1);
		}

		private List<Long> moments() {
			long firstLoss = this.unexplained.getFirst().atNanos();
			boolean latelyGood = this.part.goodNanos().isPresent()
					&& firstLoss - this.part.goodNanos().getAsLong() < LATELY_NANOS;
			long gap = (latelyGood && this.unexplained.size() < MANY_LOSSES) ? GOOD_MOMENT_NANOS : MOMENT_NANOS;
			List<Long> moments = new ArrayList<>();
			for (SuspectRequest.Loss loss : this.unexplained) {
				if (moments.isEmpty() || loss.atNanos() - moments.getLast() > gap) {
					moments.add(loss.atNanos());
				}
			}
			return moments;
		}

	}

}
