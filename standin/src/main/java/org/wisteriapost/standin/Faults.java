package org.wisteriapost.standin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * The faults that a stand-in has been told to show, first match first.
 */
final class Faults {

	private final List<Armed> armed = new ArrayList<>();

	synchronized void set(Fault fault) {
		if (fault.kind() == Fault.Kind.NONE) {
			this.armed.clear();
			return;
		}
		this.armed.add(new Armed(fault));
	}

	synchronized Optional<Fault> take(String path) {
		Iterator<Armed> all = this.armed.iterator();
		while (all.hasNext()) {
			Armed one = all.next();
			if (path.startsWith(one.fault.path())) {
				if (one.lastCall()) {
					all.remove();
				}
				return Optional.of(one.fault);
			}
		}
		return Optional.empty();
	}

	private static final class Armed {

		private final Fault fault;

		private long left;

		private Armed(Fault fault) {
			this.fault = fault;
			this.left = fault.calls();
		}

		private boolean lastCall() {
			return this.fault.calls() > 0 && --this.left == 0;
		}

	}

}
