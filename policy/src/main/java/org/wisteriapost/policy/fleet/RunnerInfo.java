package org.wisteriapost.policy.fleet;

import java.util.Map;

/**
 * The registration of one incarnation of a runner.
 *
 * @param id its name; a later incarnation may reuse it
 * @param service its service
 * @param address {@code IP:PORT}; another runner may reuse it later
 * @param place its failure domain
 * @param slots the number of requests that it processes at once
 * @param draining whether it is draining
 * @param coldMillis the remaining time for which it is slow after its start
 * @param models the version of the weights that it serves, by model
 * @param the registration's revision in the store; of two registrations with one address
 * the one with the higher revision is current
 * @param start distinguishes incarnations with the same id
 */
public record RunnerInfo(String id, String service, String address, String place, int slots, boolean draining,
		long coldMillis, Map<String, Integer> models, long revision, RunnerStart start) {

	public RunnerInfo {
		models = Map.copyOf(models);
	}

	/**
	 * Returns the assumed state of a later incarnation that has not registered yet: it
	 * serves no weights.
	 */
	public RunnerInfo startedAgain(RunnerStart laterIncarnation) {
		return new RunnerInfo(this.id, this.service, this.address, this.place, this.slots, this.draining,
				this.coldMillis, Map.of(), this.revision, laterIncarnation);
	}

	/**
	 * Returns whether another registration is equal but for its revision, which each
	 * renewal changes.
	 */
	public boolean sameAs(RunnerInfo other) {
		return equals(new RunnerInfo(other.id, other.service, other.address, other.place, other.slots, other.draining,
				other.coldMillis, other.models, this.revision, other.start));
	}

	/**
	 * Returns the IP address of its VM.
	 */
	public String host() {
		return this.address.substring(0, this.address.lastIndexOf(':'));
	}

}
