package org.wisteriapost.policy.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.wisteriapost.policy.fleet.RunnerInfo;

/**
 * Runners to which this entry has just lost connections.
 *
 * A runner may reset connections without having crashed: it accepts no more, a network
 * device has dropped them, or it fails some requests. Such a runner still accepts
 * connections and answers, a crashed one does neither. So each lost runner is checked
 * with a connection, and its losses are confirmed when it refuses that or gives no sign
 * of life.
 *
 * @param <S> what was lost with a runner: a request by its content, or its parts
 */
final class UnconfirmedLosses<S> {

	/** How long to wait for a sign of life; the runner needs longer to start again. */
	static final Duration MAX_WAIT = Duration.ofMillis(500);

	// Lets the operating system close all sockets of the process.
	private static final long CHECK_DELAY_NANOS = Duration.ofMillis(20).toNanos();

	// Responses that a runner sent before it crashed may be read this much later.
	private static final long IN_TRANSIT_NANOS = Duration.ofMillis(100).toNanos();

	// Above what one entry usually has in progress.
	private static final int MAX_LOSSES = 1024;

	private final List<Unconfirmed<S>> losses = new ArrayList<>();

	// Lost runners that are still to be checked, by the hash of their incarnation.
	private final Map<Long, LostRunner> unchecked = new LinkedHashMap<>();

	boolean isEmpty() {
		return this.losses.isEmpty();
	}

	void add(S subject, RunnerInfo runner, long nowNanos) {
		long hash = runner.incarnationHash();
		if (this.losses.stream().noneMatch((loss) -> loss.runner == hash)) {
			this.unchecked.put(hash, new LostRunner(runner, nowNanos));
		}
		add(subject, hash, nowNanos);
	}

	/**
	 * Adds the loss of a runner that this entry cannot connect to.
	 */
	void add(S subject, long runner, long nowNanos) {
		boolean known = this.losses.stream().anyMatch((loss) -> loss.runner == runner && loss.subject.equals(subject));
		if (!known && this.losses.size() < MAX_LOSSES) {
			this.losses.add(new Unconfirmed<>(subject, runner, nowNanos));
		}
	}

	/**
	 * Removes and returns the runners to check now.
	 */
	List<RunnerInfo> removeRunnersToCheck(long nowNanos) {
		List<RunnerInfo> due = this.unchecked.values()
			.stream()
			.filter((lost) -> nowNanos - lost.lostNanos >= CHECK_DELAY_NANOS)
			.map(LostRunner::info)
			.toList();
		due.forEach((runner) -> this.unchecked.remove(runner.incarnationHash()));
		return due;
	}

	/**
	 * Drops the losses of a runner that has answered.
	 */
	void runnerAnswered(long runner, long nowNanos) {
		this.losses.removeIf((loss) -> loss.runner == runner && nowNanos - loss.lostNanos > IN_TRANSIT_NANOS);
	}

	/**
	 * Drops the losses of a runner that accepts connections.
	 */
	void runnerAccepts(long runner) {
		this.losses.removeIf((loss) -> loss.runner == runner);
	}

	/**
	 * Drops the losses of a request before a run of it began that was completed.
	 */
	void requestCompleted(S request, long begunNanos) {
		this.losses.removeIf((loss) -> loss.subject.equals(request) && loss.lostNanos <= begunNanos);
	}

	int count(S request) {
		return (int) this.losses.stream().filter((loss) -> loss.subject.equals(request)).count();
	}

	/**
	 * Removes and returns the losses of a runner that refuses connections.
	 */
	List<Unconfirmed<S>> removeLossesOf(long runner) {
		List<Unconfirmed<S>> confirmed = this.losses.stream().filter((loss) -> loss.runner == runner).toList();
		this.losses.removeAll(confirmed);
		return confirmed;
	}

	/**
	 * Removes and returns the losses without any sign of life since.
	 */
	List<Unconfirmed<S>> removeOverdue(long nowNanos) {
		List<Unconfirmed<S>> overdue = this.losses.stream()
			.filter((loss) -> nowNanos - loss.lostNanos >= MAX_WAIT.toNanos())
			.toList();
		this.losses.removeAll(overdue);
		return overdue;
	}

	/**
	 * A request that was in progress at a runner when the connections to it ended.
	 *
	 * @param subject what was lost
	 * @param runner hash of the runner's incarnation
	 * @param lostNanos when the connection ended
	 */
	record Unconfirmed<S>(S subject, long runner, long lostNanos) {
	}

	private record LostRunner(RunnerInfo info, long lostNanos) {
	}

}
