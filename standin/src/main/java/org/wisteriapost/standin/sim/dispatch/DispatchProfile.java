package org.wisteriapost.standin.sim.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The load of a simulation, and the entries, engines and changes that it meets.
 *
 * @param name the name on the command line
 * @param engineProfile the kind of the engines
 * @param entries the number of entries
 * @param engines the number of engines
 * @param load the load outside of bursts, as a share of what all engines complete
 * @param duration the time during which requests arrive
 * @param kinds the kinds of the requests
 * @param organisations the number of organisations that send requests; 0 if requests name
 * none
 * @param finalRefusals whether callers are told when to retry only if free capacity is
 * forecast
 * @param changes what changes meanwhile
 */
public record DispatchProfile(String name, EngineProfile engineProfile, int entries, int engines, double load,
		Duration duration, List<RequestKind> kinds, int organisations, boolean finalRefusals, List<Change> changes) {

	/** Failure domains over which entries and engines are spread. */
	static final int FAILURE_DOMAINS = 3;

	private static final int ENTRIES = 12;

	private static final int ENGINES = 15;

	// One engine of twelve, and of the default fleet.
	private static final double ONE_ENGINE = 1.0 / 12;

	// Half of the agent's interval of 150 ms, and 35 ms until entries are told.
	private static final Duration STATED_AFTER = Duration.ofMillis(110);

	private static final Duration DURATION = Duration.ofSeconds(24);

	// One customer's fleet and its kinds of requests.
	private static final int LARGE_FLEET = 40;

	private static final int ORGANISATIONS = 24;

	private static final int BURSTING_ORGANISATION = 7;

	public DispatchProfile {
		kinds = List.copyOf(kinds);
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
				of("spells-untold", engines, 0.5, spells(ONE_ENGINE, Optional.empty())),
				of("spells", engines, 0.5, spells(ONE_ENGINE, Optional.of(STATED_AFTER))),
				of("all-spells-untold", engines, 0.7, spells(1, Optional.empty())),
				of("all-spells", engines, 0.7, spells(1, Optional.of(STATED_AFTER))),
				of("switch", engines, 0.8, new Change.Switch(seconds(6), seconds(8), 4)),
				of("sudden-switch", engines, 0.8, new Change.Switch(seconds(6), seconds(2), 2)), ranks(engines));
	}

	// Requests of three ranks from organisations of uneven size. The least urgent kind,
	// the most urgent kind and a small organisation each have a burst.
	private static DispatchProfile ranks(EngineProfile engines) {
		RequestKind urgent = new RequestKind("urgent", 0, Duration.ofMillis(400), 3.2, 125);
		RequestKind normal = new RequestKind("normal", 1, Duration.ofMillis(400), 1.3, 70);
		RequestKind patient = new RequestKind("patient", 2, Duration.ofMillis(1000), 1, 98);
		return new DispatchProfile("ranks", engines, LARGE_FLEET, LARGE_FLEET, 0.85, Duration.ofSeconds(42),
				List.of(urgent, normal, patient), ORGANISATIONS, false,
				List.of(new Change.KindBurst(seconds(4), seconds(6), "patient", 2.25),
						new Change.KindBurst(seconds(14), seconds(4), "urgent", 1.75),
						new Change.KindBurst(seconds(22), seconds(6), "patient", 2.5),
						new Change.OrganisationBurst(seconds(32), seconds(5), BURSTING_ORGANISATION, 15)));
	}

	private static Change spells(double engineShare, Optional<Duration> statedAfter) {
		return new Change.Spells(seconds(1), seconds(0.6), 2.5, 0.15, engineShare, statedAfter);
	}

	private static DispatchProfile of(String name, EngineProfile engines, double load, Change... changes) {
		RequestKind kind = new RequestKind("stream", 1, engines.target(), 1, 1);
		return new DispatchProfile(name, engines, ENTRIES, ENGINES, load, DURATION, List.of(kind), 0, false,
				List.of(changes));
	}

	private static Duration seconds(double seconds) {
		return Duration.ofMillis((long) (seconds * Duration.ofSeconds(1).toMillis()));
	}

	/**
	 * Returns this profile with another number of entries and engines.
	 */
	public DispatchProfile withFleet(int otherEntries, int otherEngines) {
		return new DispatchProfile(this.name, this.engineProfile, otherEntries, otherEngines, this.load, this.duration,
				this.kinds, this.organisations, this.finalRefusals, this.changes);
	}

	/**
	 * Returns this profile with final refusals.
	 */
	public DispatchProfile withFinalRefusals() {
		return new DispatchProfile(this.name, this.engineProfile, this.entries, this.engines, this.load, this.duration,
				this.kinds, this.organisations, true, this.changes);
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
		 * More requests of one kind arrive for some time.
		 *
		 * @param at when it starts
		 * @param length how long it lasts
		 * @param kind the name of the kind
		 * @param factor the factor of the load of the kind
		 */
		record KindBurst(Duration at, Duration length, String kind, double factor) implements Change {
		}

		/**
		 * More requests of one organisation arrive for some time.
		 *
		 * @param at when it starts
		 * @param length how long it lasts
		 * @param organisation its number, in order of size
		 * @param factor the factor of the load of the organisation
		 */
		record OrganisationBurst(Duration at, Duration length, int organisation, double factor) implements Change {
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

		/**
		 * Engines have spells in which they are slower than declared.
		 *
		 * @param at when the first spells may start
		 * @param length how long a spell lasts
		 * @param pace the factor by which an engine is slower in a spell
		 * @param timeShare the share of the time in which an engine has a spell
		 * @param engineShare the share of the engines that have spells
		 * @param statedAfter the time from a change of an engine's pace until entries are
		 * told; empty if they are not told
		 */
		record Spells(Duration at, Duration length, double pace, double timeShare, double engineShare,
				Optional<Duration> statedAfter) implements Change {
		}

	}

}
