package org.wisteriapost.policy.fleet;

import java.util.Map;

/**
 * One start of a runner, as it registers itself.
 *
 * @param id its name; a later start may have it again
 * @param service the service that it belongs to
 * @param address as {@code IP:PORT}; used again by others after the runner has gone
 * @param place its failure domain
 * @param slots requests that it processes at once
 * @param draining whether it is about to leave
 * @param coldMillis how much longer it is slow after its start
 * @param models the version of the weights that it holds, by model
 * @param revision of the registration in the store; of two at one address the later one
 * is the runner that is there now
 * @param start tells this start from others under the same id
 */
public record RunnerInfo(String id, String service, String address, String place, int slots, boolean draining,
		long coldMillis, Map<String, Integer> models, long revision, RunnerStart start) {

	public RunnerInfo {
		models = Map.copyOf(models);
	}

	/**
	 * Returns what is known of it after a later start, before it has registered: it holds
	 * no weights.
	 */
	public RunnerInfo startedAgain(RunnerStart later) {
		return new RunnerInfo(this.id, this.service, this.address, this.place, this.slots, this.draining,
				this.coldMillis, Map.of(), this.revision, later);
	}

	/**
	 * Returns whether a registration says the same of the runner, but that it lives.
	 */
	public boolean sameAs(RunnerInfo other) {
		return equals(new RunnerInfo(other.id, other.service, other.address, other.place, other.slots, other.draining,
				other.coldMillis, other.models, this.revision, other.start));
	}

	/**
	 * Returns the IP number of its VM.
	 */
	public String host() {
		return this.address.substring(0, this.address.lastIndexOf(':'));
	}

}
