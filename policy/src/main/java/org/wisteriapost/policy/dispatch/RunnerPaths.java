package org.wisteriapost.policy.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.wisteriapost.policy.routing.EngineSpec;

/**
 * Network paths to all runners: selects the agents to ask for echoes and processes the
 * echoes.
 */
public final class RunnerPaths {

	private final RunnerRegistry registry;

	private final Placement placement;

	private final Function<String, Optional<EngineSpec>> engines;

	private final Set<String> linkedAgents = new HashSet<>();

	RunnerPaths(RunnerRegistry registry, Placement placement, Function<String, Optional<EngineSpec>> engines) {
		this.registry = registry;
		this.placement = placement;
		this.engines = engines;
	}

	/**
	 * Returns the addresses of the runners whose agents should be asked for an echo now.
	 * Should be called every 100 to 200 ms.
	 */
	public List<String> runnersToProbe(long nowNanos) {
		List<String> addresses = new ArrayList<>();
		for (RunnerState runner : this.registry.states()) {
			Optional<EngineSpec> engine = this.engines.apply(runner.info.service());
			if (engine.isPresent() && this.placement.needsPathCheck(runner, engine, nowNanos)) {
				runner.path.echoRequested(this.linkedAgents.contains(runner.info.address()), nowNanos);
				addresses.add(runner.info.address());
			}
		}
		return addresses;
	}

	/**
	 * Records an echo of the agent on a runner's VM.
	 * @param address the runner's address
	 * @param askedNanos the time at which the echo was requested
	 */
	public void echoReceived(String address, long askedNanos, long nowNanos) {
		atAddress(address).forEach((runner) -> runner.path.echoReceived(askedNanos, nowNanos));
	}

	/**
	 * Records that there is a connection to the agent on a runner's VM.
	 * @param address the runner's address
	 */
	public void agentConnected(String address) {
		this.linkedAgents.add(address);
	}

	/**
	 * Records that the connection to the agent on a runner's VM was closed.
	 * @param address the runner's address
	 */
	public void agentDisconnected(String address) {
		this.linkedAgents.remove(address);
		atAddress(address).forEach((runner) -> runner.path.agentDisconnected());
	}

	/**
	 * Returns the paths that became blocked or unblocked since the previous call.
	 */
	public List<Change> pollChanges(long nowNanos) {
		return this.registry.states()
			.stream()
			.filter((runner) -> runner.path.pollBlockedChanged(nowNanos))
			.map((runner) -> new Change(runner.info.address(), runner.path.blocked(nowNanos)))
			.toList();
	}

	private List<RunnerState> atAddress(String address) {
		return this.registry.states().stream().filter((runner) -> runner.info.address().equals(address)).toList();
	}

	/**
	 * Change in the state of the network path to a runner.
	 *
	 * @param address the runner's address
	 * @param blocked whether the path is blocked, so that nothing is sent there
	 */
	public record Change(String address, boolean blocked) {
	}

}
