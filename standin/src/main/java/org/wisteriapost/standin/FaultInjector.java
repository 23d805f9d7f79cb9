package org.wisteriapost.standin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * The active faults of a stand-in; the first one that matches a call applies.
 */
final class FaultInjector {

	private final List<Armed> armed = new ArrayList<>();

	synchronized void set(Fault fault) {
		if (fault.kind() == Fault.Kind.NONE) {
			this.armed.clear();
			return;
		}
		this.armed.add(new Armed(fault));
	}

	synchronized Optional<Fault> next(String path) {
		Iterator<Armed> all = this.armed.iterator();
		while (all.hasNext()) {
			Armed candidate = all.next();
			if (path.startsWith(candidate.fault.path())) {
				if (candidate.consumeCall()) {
					all.remove();
				}
				return Optional.of(candidate.fault);
			}
		}
		return Optional.empty();
	}

	private static final class Armed {

		private final Fault fault;

		private long remainingCalls;

		private Armed(Fault fault) {
			this.fault = fault;
			this.remainingCalls = fault.calls();
		}

		private boolean consumeCall() {
			return this.fault.calls() > 0 && --this.remainingCalls == 0;
		}

	}

}
