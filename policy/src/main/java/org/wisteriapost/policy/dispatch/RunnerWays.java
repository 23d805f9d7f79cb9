package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.wisteriapost.policy.routing.EngineSpec;

/**
 * The ways to all runners: whose agents are asked for echoes, and what those say.
 */
public final class RunnerWays {

	private final RunnerBook book;

	private final Placement placement;

	private final Function<String, Optional<EngineSpec>> engines;

	RunnerWays(RunnerBook book, Placement placement, Function<String, Optional<EngineSpec>> engines) {
		this.book = book;
		this.placement = placement;
		this.engines = engines;
	}

	/**
	 * Returns the addresses of the runners whose agents are to be asked for an echo now,
	 * since it matters whether the way there is open; to be called every tenth of a
	 * second or two.
	 */
	public List<String> toAsk(long nowNanos) {
		List<String> addresses = new ArrayList<>();
		for (RunnerState runner : this.book.states()) {
			Optional<EngineSpec> engine = this.engines.apply(runner.info.service());
			if (engine.isPresent() && this.placement.wayMatters(runner, engine, nowNanos)) {
				runner.way.asked(nowNanos);
				addresses.add(runner.info.address());
			}
		}
		return addresses;
	}

	/**
	 * Hears an echo of the agent beside a runner.
	 * @param address the runner's address
	 * @param askedNanos when it was asked for
	 */
	public void echoed(String address, long askedNanos, long nowNanos) {
		at(address).forEach((runner) -> runner.way.echoed(askedNanos, nowNanos));
	}

	/**
	 * Hears that the link to the agent beside a runner is gone.
	 * @param address the runner's address
	 */
	public void agentGone(String address) {
		at(address).forEach((runner) -> runner.way.agentGone());
	}

	/**
	 * Returns the ways that were found closed, or open again, since the last call.
	 */
	public List<Change> changes(long nowNanos) {
		return this.book.states()
			.stream()
			.filter((runner) -> runner.way.changed(nowNanos))
			.map((runner) -> new Change(runner.info.address(), runner.way.closed(nowNanos)))
			.toList();
	}

	private List<RunnerState> at(String address) {
		return this.book.states().stream().filter((runner) -> runner.info.address().equals(address)).toList();
	}

	/**
	 * What is newly believed of the way to a runner.
	 *
	 * @param address the runner's address
	 * @param closed whether nothing is sent there now
	 */
	public record Change(String address, boolean closed) {
	}

}
