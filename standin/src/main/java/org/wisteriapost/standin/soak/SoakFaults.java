package org.wisteriapost.standin.soak;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Injects faults and rollouts at random intervals, one or two at a time.
 */
final class SoakFaults {

	private final SoakFleet fleet;

	private final VirtualTime time;

	private final Map<String, Long> counts = new TreeMap<>();

	private boolean active = true;

	SoakFaults(SoakFleet fleet) {
		this.fleet = fleet;
		this.time = fleet.time();
	}

	Map<String, Long> counts() {
		return this.counts;
	}

	void start() {
		this.time.after(this.time.randomBetween(VirtualTime.SECOND / 5, 3 * VirtualTime.SECOND), () -> {
			if (this.active) {
				inject();
				if (this.time.chance(0.2)) {
					inject();
				}
				start();
			}
		});
	}

	/**
	 * Ends all faults. Killed processes are replaced when they are killed.
	 */
	void heal() {
		this.active = false;
		this.fleet.platform().setUnavailable(false);
		this.fleet.platform().setAddedLatency(0);
		this.fleet.platform().setLostConfirmationShare(0);
		this.fleet.processes().forEach(SoakProcess::resume);
	}

	private void inject() {
		Kind kind = Kind.values()[this.time.random().nextInt(Kind.values().length)];
		this.counts.merge(kind.name(), 1L, Long::sum);
		switch (kind) {
			case KILL_ENTRY -> this.fleet.killEntry();
			case KILL_AGENT -> this.fleet.killAgent();
			case REPLACE_VM -> this.fleet.replaceVm();
			case CRASH_RUNNER -> pick(this.fleet.vms()).runner().crash();
			case PAUSE_ENTRY -> pause(pick(this.fleet.entries()));
			case PAUSE_AGENT -> pause(pick(this.fleet.vms()));
			case CUT_LINK -> disturbLink(false);
			case STALL_LINK -> disturbLink(true);
			case PLATFORM_DOWN -> {
				this.fleet.platform().setUnavailable(true);
				this.time.after(this.time.randomBetween(VirtualTime.SECOND, 12 * VirtualTime.SECOND),
						() -> this.fleet.platform().setUnavailable(false));
			}
			case PLATFORM_SLOW -> {
				this.fleet.platform()
					.setAddedLatency(this.time.randomBetween(50 * VirtualTime.MILLI, 2 * VirtualTime.SECOND));
				this.time.after(this.time.randomBetween(VirtualTime.SECOND, 8 * VirtualTime.SECOND),
						() -> this.fleet.platform().setAddedLatency(0));
			}
			case LOST_CONFIRMATIONS -> {
				this.fleet.platform().setLostConfirmationShare(0.3);
				this.time.after(this.time.randomBetween(VirtualTime.SECOND, 8 * VirtualTime.SECOND),
						() -> this.fleet.platform().setLostConfirmationShare(0));
			}
			case VM_LEAVES -> pick(this.fleet.vms()).leave();
			case ENTRY_LEAVES -> pick(this.fleet.entries()).leave();
			case ROLL -> this.fleet.operators().rollOut(false);
			case ROLL_RACE -> this.fleet.operators().rollOut(true);
		}
	}

	private void pause(SoakProcess process) {
		this.fleet.countPause();
		process.pause();
		this.time.after(this.time.randomBetween(VirtualTime.SECOND / 10, 9 * VirtualTime.SECOND), process::resume);
	}

	private void disturbLink(boolean stall) {
		List<SoakLink> links = pick(this.fleet.entries()).links();
		if (!links.isEmpty()) {
			SoakLink link = links.get(this.time.random().nextInt(links.size()));
			if (stall) {
				link.stall();
			}
			else {
				link.cut();
			}
		}
	}

	private <T> T pick(List<T> all) {
		return all.get(this.time.random().nextInt(all.size()));
	}

	/** Kinds of faults and rollouts. The names are keys of the output. */
	private enum Kind {

		KILL_ENTRY, KILL_AGENT, REPLACE_VM, CRASH_RUNNER, PAUSE_ENTRY, PAUSE_AGENT, CUT_LINK, STALL_LINK, PLATFORM_DOWN,
		PLATFORM_SLOW, LOST_CONFIRMATIONS, VM_LEAVES, ENTRY_LEAVES, ROLL, ROLL_RACE

	}

}
