package org.wisteriapost.standin.sim;

import java.util.List;
import java.util.Map;

import org.wisteriapost.policy.request.RequestEffect;
import org.wisteriapost.policy.request.RequestEvent;
import org.wisteriapost.policy.request.RequestPolicySettings;
import org.wisteriapost.policy.request.RequestStateMachine;

/**
 * The production request handling of an entry.
 */
public final class StateMachinePolicy implements EntryPolicy {

	private final RequestStateMachine stateMachine;

	private StateMachinePolicy(RequestStateMachine machine) {
		this.stateMachine = machine;
	}

	/**
	 * Creates the production request handling with default settings.
	 */
	public static EntryPolicy create(LoadProfile profile, long seed) {
		return new StateMachinePolicy(RequestStateMachine.create(RequestPolicySettings.defaults(), seed));
	}

	@Override
	public List<RequestEffect> apply(RequestEvent event, long nowNanos) {
		return this.stateMachine.apply(event, nowNanos);
	}

	@Override
	public boolean gated() {
		return true;
	}

	@Override
	public Map<String, Long> violations() {
		return this.stateMachine.violations();
	}

}
