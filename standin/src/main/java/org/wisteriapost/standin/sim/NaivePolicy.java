package org.wisteriapost.standin.sim;

import java.util.ArrayList;
import java.util.List;

import org.wisteriapost.policy.request.RequestEffect;
import org.wisteriapost.policy.request.RequestEvent;

/**
 * What to measure against: round robin over the runners that report, no admission, no
 * queue, no retry, no cancellation.
 */
public final class NaivePolicy implements EntryPolicy {

	private final List<String> runners = new ArrayList<>();

	private int next;

	private NaivePolicy(int first) {
		this.next = first;
	}

	/**
	 * Returns a policy that begins anywhere in the round.
	 */
	public static EntryPolicy create(LoadProfile profile, long seed) {
		return new NaivePolicy((int) Math.floorMod(seed, (long) profile.runners()));
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
		this.next = (this.next + 1) % this.runners.size();
		return new RequestEffect.Dispatch(id, this.runners.get(this.next), LoadSim.DIGEST);
	}

	@Override
	public boolean gated() {
		return false;
	}

}
