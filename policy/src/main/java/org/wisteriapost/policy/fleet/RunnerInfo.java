package org.wisteriapost.policy.fleet;

import java.util.Map;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The registration of one incarnation of a runner.
 *
 * @param id its name; a later incarnation may reuse it
 * @param service its service
 * @param address {@code IP:PORT}; another runner may reuse it later
 * @param failureDomain its failure domain
 * @param slots the number of requests that it processes at once
 * @param draining whether it is draining
 * @param coldMillis the remaining time for which it is slow after its start
 * @param weightsVersions the version of the weights that it serves, by model
 * @param the registration's revision in the store; of two registrations with one address
 * the one with the higher revision is current
 * @param incarnation distinguishes incarnations with the same id
 */
public record RunnerInfo(String id, String service, String address, String failureDomain, int slots, boolean draining,
		long coldMillis, Map<String, Integer> weightsVersions, long revision, RunnerIncarnation incarnation) {

	public RunnerInfo {
		weightsVersions = Map.copyOf(weightsVersions);
	}

	/**
	 * Returns the assumed state of a later incarnation that has not registered yet: it
	 * serves no weights, and what the former one states does not apply.
	 */
	public RunnerInfo withIncarnation(RunnerIncarnation laterIncarnation) {
		return new RunnerInfo(this.id, this.service, this.address, this.failureDomain, this.slots, this.draining, 0,
				Map.of(), this.revision, laterIncarnation);
	}

	/**
	 * Returns whether another registration is equal but for its revision and the time for
	 * which the runner is still cold, which each renewal changes.
	 */
	public boolean equalsIgnoringRevision(RunnerInfo other) {
		return equals(new RunnerInfo(other.id, other.service, other.address, other.failureDomain, other.slots,
				other.draining, this.coldMillis, other.weightsVersions, this.revision, other.incarnation));
	}

	/**
	 * Returns a hash that is the same at all entries and differs between incarnations.
	 */
	public long incarnationHash() {
		return Hashing.komihash5_0().hashCharsToLong(this.id + "\n" + this.incarnation);
	}

	/**
	 * Returns the IP address of its VM.
	 */
	public String host() {
		return this.address.substring(0, this.address.lastIndexOf(':'));
	}

}
