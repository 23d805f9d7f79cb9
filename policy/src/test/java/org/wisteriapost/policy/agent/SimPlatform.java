package org.wisteriapost.policy.agent;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The platform's objects, without time.
 */
final class SimPlatform {

	private final Map<String, StoredObject> objects = new TreeMap<>();

	private boolean down;

	private String unreadable = "";

	boolean down(String key) {
		return this.down || key.equals(this.unreadable);
	}

	/**
	 * Fails all calls for one key.
	 */
	void unreadable(String key) {
		this.unreadable = key;
	}

	void down(boolean now) {
		this.down = now;
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
		boolean expected = write.version() == AgentEffect.WriteObject.ANYTHING
				|| write.version() == version(write.key());
		if (expected) {
			set(write.key(), write.value());
		}
		return expected;
	}

	long version(String key) {
		return get(key).map(StoredObject::version).orElse(AgentEffect.WriteObject.ABSENT);
	}

}
