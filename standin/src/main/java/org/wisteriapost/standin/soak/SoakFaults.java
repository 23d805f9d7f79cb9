package org.wisteriapost.standin.soak;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What goes wrong in a run, one or two at a time.
 */
final class SoakFaults {

	private final SoakWorld world;

	private final VirtualTime time;

	private final Map<String, Long> counts = new TreeMap<>();

	private boolean on = true;

	SoakFaults(SoakWorld world) {
		this.world = world;
		this.time = world.time();
	}

	Map<String, Long> counts() {
		return this.counts;
	}

	void start() {
		this.time.after(this.time.between(VirtualTime.SECOND / 5, 3 * VirtualTime.SECOND), () -> {
			if (this.on) {
				happen();
				if (this.time.chance(0.2)) {
					happen();
				}
				start();
			}
		});
	}

	/**
	 * Ends all faults; what was killed has been replaced already.
	 */
	void heal() {
		this.on = false;
		this.world.platform().down(false);
		this.world.platform().slow(0);
		this.world.platform().loses(0);
		this.world.processes().forEach(SoakProcess::resume);
	}

	private void happen() {
		Kind kind = Kind.values()[this.time.random().nextInt(Kind.values().length)];
		this.counts.merge(kind.name(), 1L, Long::sum);
		switch (kind) {
			case KILL_ENTRY -> this.world.killEntry();
			case KILL_AGENT -> this.world.killAgent();
			case REPLACE_VM -> this.world.replaceVm();
			case CRASH_RUNNER -> pick(this.world.vms()).runner().crash();
			case PAUSE_ENTRY -> pause(pick(this.world.entries()));
			case PAUSE_AGENT -> pause(pick(this.world.vms()));
			case CUT_LINK -> link(false);
			case STALL_LINK -> link(true);
			case PLATFORM_DOWN -> {
				this.world.platform().down(true);
				this.time.after(this.time.between(VirtualTime.SECOND, 12 * VirtualTime.SECOND),
						() -> this.world.platform().down(false));
			}
			case PLATFORM_SLOW -> {
				this.world.platform().slow(this.time.between(50 * VirtualTime.MILLI, 2 * VirtualTime.SECOND));
				this.time.after(this.time.between(VirtualTime.SECOND, 8 * VirtualTime.SECOND),
						() -> this.world.platform().slow(0));
			}
			case LOST_CONFIRMATIONS -> {
				this.world.platform().loses(0.3);
				this.time.after(this.time.between(VirtualTime.SECOND, 8 * VirtualTime.SECOND),
						() -> this.world.platform().loses(0));
			}
			case VM_LEAVES -> pick(this.world.vms()).leave();
			case ENTRY_LEAVES -> pick(this.world.entries()).leave();
			case ROLL -> this.world.operators().roll(false);
			case ROLL_RACE -> this.world.operators().roll(true);
		}
	}

	private void pause(SoakProcess process) {
		this.world.paused();
		process.pause();
		this.time.after(this.time.between(VirtualTime.SECOND / 10, 9 * VirtualTime.SECOND), process::resume);
	}

	private void link(boolean stall) {
		List<SoakLink> links = pick(this.world.entries()).links();
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

	/** Kinds of faults, and the operators' own races. */
	private enum Kind {

		KILL_ENTRY, KILL_AGENT, REPLACE_VM, CRASH_RUNNER, PAUSE_ENTRY, PAUSE_AGENT, CUT_LINK, STALL_LINK, PLATFORM_DOWN,
		PLATFORM_SLOW, LOST_CONFIRMATIONS, VM_LEAVES, ENTRY_LEAVES, ROLL, ROLL_RACE

	}

}
