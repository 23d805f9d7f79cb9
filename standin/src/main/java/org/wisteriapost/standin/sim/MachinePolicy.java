package org.wisteriapost.standin.sim;

import java.util.List;
import java.util.Map;

import org.wisteriapost.policy.request.RequestEffect;
import org.wisteriapost.policy.request.RequestEvent;
import org.wisteriapost.policy.request.RequestPolicySettings;
import org.wisteriapost.policy.request.RequestStateMachine;

/**
 * The program's own decisions.
 */
public final class MachinePolicy implements EntryPolicy {

	private final RequestStateMachine machine;

	private MachinePolicy(RequestStateMachine machine) {
		this.machine = machine;
	}

	/**
	 * Returns the program's own decisions with default limits.
	 */
	public static EntryPolicy create(LoadProfile profile, long seed) {
		return new MachinePolicy(RequestStateMachine.create(RequestPolicySettings.defaults(), seed));
	}

	@Override
	public List<RequestEffect> apply(RequestEvent event, long nowNanos) {
		return this.machine.apply(event, nowNanos);
	}

	@Override
	public boolean gated() {
		return true;
	}

	@Override
	public Map<String, Long> violations() {
		return this.machine.violations();
	}

}
