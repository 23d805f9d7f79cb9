package org.wisteriapost.standin.sim;

import java.util.ArrayList;
import java.util.List;

import org.wisteriapost.policy.request.RequestEffect;
import org.wisteriapost.policy.request.RequestEvent;

/**
 * A baseline for comparison: round robin over the connected runners, without admission
 * control, queueing, retries or cancellation.
 */
public final class RoundRobinPolicy implements EntryPolicy {

	private final List<String> runners = new ArrayList<>();

	private int nextIndex;

	private RoundRobinPolicy(int firstIndex) {
		this.nextIndex = firstIndex;
	}

	/**
	 * Creates a policy whose first runner depends on the seed, so that entries do not
	 * send to the same runner at once.
	 */
	public static EntryPolicy create(LoadProfile profile, long seed) {
		return new RoundRobinPolicy((int) Math.floorMod(seed, (long) profile.runners()));
	}

	@Override
	public List<RequestEffect> apply(RequestEvent event, long nowNanos) {
		return switch (event) {
			case RequestEvent.RunnerReported seen -> {
				if (!this.runners.contains(seen.status().runner())) {
					this.runners.add(seen.status().runner());
				}
				yield List.of();
			}
			case RequestEvent.RunnerDisconnected lost -> {
				this.runners.remove(lost.runner());
				yield List.of();
			}
			case RequestEvent.Arrived arrived -> List.of(dispatch(arrived.request().id()));
			case RequestEvent.DispatchFailed failed ->
				List.of(new RequestEffect.AnswerUnknown(failed.id(), failed.code()));
			default -> List.of();
		};
	}

	private RequestEffect dispatch(long id) {
		if (this.runners.isEmpty()) {
			return new RequestEffect.Refuse(id, "no-runner", 0);
		}
		this.nextIndex = (this.nextIndex + 1) % this.runners.size();
		return new RequestEffect.Dispatch(id, this.runners.get(this.nextIndex), LoadSim.DIGEST);
	}

	@Override
	public boolean gated() {
		return false;
	}

}
