package org.wisteriapost.standin.sim.dispatch;

import java.time.Duration;
import java.util.List;

/**
 * The load of a simulation, and the entries, engines and changes that it meets.
 *
 * @param name the name on the command line
 * @param engineProfile the kind of the engines
 * @param entries the number of entries
 * @param engines the number of engines
 * @param load the load outside of bursts, as a share of what all engines complete
 * @param duration the time during which requests arrive
 * @param changes what changes meanwhile
 */
public record DispatchProfile(String name, EngineProfile engineProfile, int entries, int engines, double load,
		Duration duration, List<Change> changes) {

	/** Failure domains over which entries and engines are spread. */
	static final int FAILURE_DOMAINS = 3;

	private static final int ENTRIES = 12;

	private static final int ENGINES = 15;

	private static final Duration DURATION = Duration.ofSeconds(24);

	public DispatchProfile {
		changes = List.copyOf(changes);
	}

	/**
	 * Returns the predefined profiles for a kind of engines.
	 */
	public static List<DispatchProfile> all(EngineProfile engines) {
		return List.of(of("calm", engines, 0.7), of("full", engines, 0.95),
				of("burst", engines, 0.8, new Change.Burst(seconds(6), seconds(3), 1.7)),
				of("shortage", engines, 0.8, new Change.Burst(seconds(4), seconds(12), 1.6)),
				of("crash", engines, 0.8, new Change.Crash(seconds(6), seconds(4.5), 0.4)),
				of("long-crash", engines, 0.85, new Change.Crash(seconds(6), seconds(9), 0.35)),
				of("switch", engines, 0.8, new Change.Switch(seconds(6), seconds(8), 4)),
				of("sudden-switch", engines, 0.8, new Change.Switch(seconds(6), seconds(2), 2)));
	}

	private static DispatchProfile of(String name, EngineProfile engines, double load, Change... changes) {
		return new DispatchProfile(name, engines, ENTRIES, ENGINES, load, DURATION, List.of(changes));
	}

	private static Duration seconds(double seconds) {
		return Duration.ofMillis((long) (seconds * Duration.ofSeconds(1).toMillis()));
	}

	/**
	 * Returns this profile with another number of entries and engines.
	 */
	public DispatchProfile withFleet(int otherEntries, int otherEngines) {
		return new DispatchProfile(this.name, this.engineProfile, otherEntries, otherEngines, this.load, this.duration,
				this.changes);
	}

	/**
	 * Returns the requests that all entries together get in a second outside of bursts.
	 */
	double requestsPerSecond() {
		return this.load * this.engines * this.engineProfile.requestsPerSecond();
	}

	/**
	 * A change of the load or the engines.
	 */
	public sealed interface Change {

		/**
		 * Returns when the change starts.
		 */
		Duration at();

		/**
		 * More requests arrive for some time.
		 *
		 * @param at when it starts
		 * @param length how long it lasts
		 * @param factor the factor of the load
		 */
		record Burst(Duration at, Duration length, double factor) implements Change {
		}

		/**
		 * Engines crash and come back.
		 *
		 * @param at when they crash
		 * @param length the time until they serve again
		 * @param share the share of the engines
		 */
		record Crash(Duration at, Duration length, double share) implements Change {
		}

		/**
		 * All engines change weights, one group after the other.
		 *
		 * @param at when the first group does
		 * @param length the time from the first group to the last
		 * @param groups the number of groups
		 */
		record Switch(Duration at, Duration length, int groups) implements Change {
		}

	}

}
