package org.wisteriapost.policy.agent;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The objects of a simulated platform. Delays are simulated by {@link SimAgent}.
 */
final class SimPlatform {

	private final Map<String, StoredObject> objects = new TreeMap<>();

	private boolean unavailable;

	private String failRequestsFor = "";

	boolean unavailable(String key) {
		return this.unavailable || key.equals(this.failRequestsFor);
	}

	/**
	 * Fails all requests for a key.
	 */
	void failRequestsFor(String key) {
		this.failRequestsFor = key;
	}

	void unavailable(boolean value) {
		this.unavailable = value;
	}

	Optional<StoredObject> get(String key) {
		return Optional.ofNullable(this.objects.get(key));
	}

	void set(String key, byte[] value) {
		this.objects.put(key, new StoredObject(value, version(key) + 1));
	}

	/**
	 * Returns whether the write took effect.
	 */
	boolean write(AgentEffect.WriteObject write) {
		boolean expected = write.expectedVersion() == AgentEffect.WriteObject.ANY_VERSION
				|| write.expectedVersion() == version(write.key());
		if (expected) {
			set(write.key(), write.value());
		}
		return expected;
	}

	long version(String key) {
		return get(key).map(StoredObject::version).orElse(AgentEffect.WriteObject.ABSENT);
	}

}
