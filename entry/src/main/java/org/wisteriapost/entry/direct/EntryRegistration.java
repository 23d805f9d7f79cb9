package org.wisteriapost.entry.direct;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.protocol.site.ObjectStore;

/**
 * Registers this entry in the site's store and removes expired registrations of others.
 * Confined to the state thread.
 */
final class EntryRegistration {

	private static final int TICKS_PER_ATTEMPT = 25;

	private static final int TICKS_PER_EXPIRY_CHECK = 100;

	private final EntryInfo self;

	private final ObjectStore store;

	private final EntryRegistry roster;

	private final DecisionLog log;

	private boolean registering;

	EntryRegistration(EntryInfo self, ObjectStore store, EntryRegistry roster, DecisionLog log) {
		this.self = self;
		this.store = store;
		this.roster = roster;
		this.log = log;
	}

	/**
	 * Makes the calls that are due.
	 * @param ready whether this entry is ready for requests
	 */
	void tick(long ticks, boolean ready, long now) {
		if (ready && !this.registering && !this.roster.selfRegistered() && ticks % TICKS_PER_ATTEMPT == 1) {
			this.registering = true;
			this.store.register(this.self).whenComplete((none, failure) -> this.registering = false);
		}
		if (ticks % TICKS_PER_EXPIRY_CHECK == 0) {
			this.roster.expiredRegistration(now).ifPresent((dead) -> {
				this.log.decision("entry-removed", "entry", dead.info().name());
				this.store.unregister(dead.info().name(), dead.revision());
			});
		}
	}

}
