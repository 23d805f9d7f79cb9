package org.wisteriapost.policy.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which suspect requests are poison requests.
 *
 * A crash ends all requests at a runner, and those that ran beside a poison request may
 * meet it again when they are retried. A poison request has been at each runner that it
 * crashed, those beside it only at some. So a request is a poison request after
 * {@value #THRESHOLD} losses that no other poison request, detected before it, explains.
 *
 * The result depends on the losses alone and not on the order in which they became known:
 * entries that know the same losses agree.
 */
final class PoisonDetector {

	/** The losses after which a request is not sent to runners any more. */
	static final int THRESHOLD = 3;

	private static final Comparator<SuspectRequest> BY_DECIDING_LOSS = Comparator
		.comparingLong((SuspectRequest suspect) -> decidingLoss(suspect).atNanos())
		.thenComparingLong(SuspectRequest::contentHash);

	private PoisonDetector() {
	}

	/**
	 * Returns the poison requests, with the losses that count for each.
	 * @param parts explain crashes by parts of prompts
	 */
	static Verdicts detect(Collection<SuspectRequest> suspects, PartQuarantine parts, long nowNanos) {
		List<SuspectRequest> candidates = suspects.stream()
			.map((suspect) -> suspect.without((loss) -> parts.explains(loss, suspect)))
			.filter((suspect) -> suspect.countedLosses() >= THRESHOLD)
			.sorted(BY_DECIDING_LOSS)
			.toList();
		// Deciding losses of the requests detected so far, by the runners they explain.
		Map<Long, Set<Long>> detected = new HashMap<>();
		Map<Long, SuspectRequest> counted = new HashMap<>();
		Map<Long, Long> undecided = new HashMap<>();
		for (SuspectRequest candidate : candidates) {
			SuspectRequest unexplained = candidate.without((loss) -> isExplained(candidate, loss, detected));
			if (unexplained.countedLosses() < THRESHOLD) {
				continue;
			}
			long certain = decidingLoss(candidate).atNanos() + BadPartDetector.OBJECTION_NANOS;
			if (nowNanos < certain && parts.involvedIn(unexplained)) {
				undecided.put(candidate.contentHash(), certain);
			}
			else {
				candidate.losses()
					.forEach((loss) -> detected.computeIfAbsent(loss.runner(), (key) -> new HashSet<>())
						.add(decidingLoss(candidate).runner()));
				counted.put(candidate.contentHash(), unexplained);
			}
		}
		return new Verdicts(counted, undecided);
	}

	// Two requests that the same loss would convict cannot be told apart.
	private static boolean isExplained(SuspectRequest candidate, SuspectRequest.Loss loss,
			Map<Long, Set<Long>> detected) {
		Set<Long> deciding = detected.getOrDefault(loss.runner(), Set.of());
		return deciding.size() > 1 || (deciding.size() == 1 && !deciding.contains(decidingLoss(candidate).runner()));
	}

	private static SuspectRequest.Loss decidingLoss(SuspectRequest suspect) {
		return suspect.losses().get(THRESHOLD - 1);
	}

	/**
	 * What is decided of the suspect requests.
	 *
	 * @param poison the poison requests by content hash, with the losses that count
	 * @param undecided requests that may be beside a bad part, by content hash, and when
	 * enough is known of the part
	 */
	record Verdicts(Map<Long, SuspectRequest> poison, Map<Long, Long> undecided) {
	}

}
