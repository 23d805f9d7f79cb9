package org.wisteriapost.policy.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Parts of prompts on which a runner of this entry has lately begun an answer that went
 * on.
 */
final class AnsweredParts {

	// Half a minute of parts at a hundred requests a second.
	private static final int MAX_PARTS = 8192;

	private final Map<Long, Long> begunNanos = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > MAX_PARTS;
		}

	};

	void add(long part, long begun) {
		this.begunNanos.merge(part, begun, Math::max);
	}

	/**
	 * Returns when the latest known of these answers began.
	 */
	OptionalLong begunNanos(long part) {
		Long begun = this.begunNanos.get(part);
		return (begun != null) ? OptionalLong.of(begun) : OptionalLong.empty();
	}

}
