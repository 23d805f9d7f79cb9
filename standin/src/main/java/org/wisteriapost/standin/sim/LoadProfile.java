package org.wisteriapost.standin.sim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.wisteriapost.policy.request.Priority;

/**
 * The workload of a simulation, and the entries, runners and faults that it meets.
 *
 * @param name the name on the command line
 * @param entries the number of entries, which do not exchange state
 * @param runners the number of runners of the only service
 * @param slots the concurrent calls of each runner
 * @param gateQueue the maximum calls that wait at a runner's gate
 * @param unitDuration the time that one unit of cost takes on a healthy runner
 * @param duration the virtual time during which requests arrive
 * @param streams the request streams
 * @param faults the faults to inject
 */
public record LoadProfile(String name, int entries, int runners, int slots, int gateQueue, Duration unitDuration,
		Duration duration, List<RequestStream> streams, List<Fault> faults) {

	private static final int ENTRIES = 6;

	private static final int RUNNERS = 10;

	private static final int SLOTS = 8;

	/** Must match the default of the agent's setting. */
	private static final int GATE_QUEUE = 0;

	private static final Duration UNIT = Duration.ofMillis(100);

	private static final Duration LENGTH = Duration.ofSeconds(60);

	private static final int ORGANISATIONS = 10;

	public LoadProfile {
		streams = List.copyOf(streams);
		faults = List.copyOf(faults);
	}

	/**
	 * Returns the predefined profile of a name.
	 */
	public static Optional<LoadProfile> named(String name) {
		return switch (name) {
			case "burst" -> Optional.of(of(name, burst()));
			case "skew" -> Optional.of(of(name, skew()));
			case "slow-endpoint" -> Optional
				.of(of(name, evenLoad(0.6)).withFaults(List.of(new Fault(Duration.ofSeconds(10), 3, Fault.Kind.SLOW))));
			case "skew-one-entry" -> Optional.of(of(name, skewOneEntry()));
			case "mixed" -> Optional.of(of(name, mixed()));
			case "saturation" -> Optional.of(of(name, saturation()));
			default -> Optional.empty();
		};
	}

	/**
	 * Returns a profile without faults, with the default number of entries and runners.
	 */
	public static LoadProfile of(String name, List<RequestStream> streams) {
		return new LoadProfile(name, ENTRIES, RUNNERS, SLOTS, GATE_QUEUE, UNIT, LENGTH, streams, List.of());
	}

	/**
	 * Returns a constant load, spread evenly over the organisations.
	 * @param load the load as a share of the capacity of all runners
	 */
	public static List<RequestStream> evenLoad(double load) {
		List<RequestStream> streams = new ArrayList<>();
		for (int each = 0; each < ORGANISATIONS; each++) {
			streams.add(RequestStream.steady("org-" + each, load * defaultCapacityPerSecond() / ORGANISATIONS));
		}
		return streams;
	}

	public LoadProfile withFaults(List<Fault> others) {
		return new LoadProfile(this.name, this.entries, this.runners, this.slots, this.gateQueue, this.unitDuration,
				this.duration, this.streams, others);
	}

	public LoadProfile withDuration(Duration other) {
		return new LoadProfile(this.name, this.entries, this.runners, this.slots, this.gateQueue, this.unitDuration,
				other, this.streams, this.faults);
	}

	/**
	 * Returns this profile with another number of entries.
	 */
	public LoadProfile withEntries(int otherEntries) {
		return new LoadProfile(this.name, otherEntries, this.runners, this.slots, this.gateQueue, this.unitDuration,
				this.duration, this.streams, this.faults);
	}

	/**
	 * Returns this profile with another limit of calls that wait at a gate.
	 */
	public LoadProfile gateQueue(int calls) {
		return new LoadProfile(this.name, this.entries, this.runners, this.slots, calls, this.unitDuration,
				this.duration, this.streams, this.faults);
	}

	/**
	 * Returns the capacity of all runners, in units of cost per second.
	 */
	public double capacityPerSecond() {
		return this.runners * this.slots * 1000.0 / this.unitDuration.toMillis();
	}

	private static double defaultCapacityPerSecond() {
		return RUNNERS * SLOTS * 1000.0 / UNIT.toMillis();
	}

	private static List<RequestStream> burst() {
		return evenLoad(0.4).stream().map((stream) -> stream.withBursts(5)).toList();
	}

	private static List<RequestStream> skew() {
		List<RequestStream> streams = new ArrayList<>(evenLoad(0.7).subList(1, ORGANISATIONS));
		streams.addFirst(RequestStream.steady("org-0", defaultCapacityPerSecond()));
		return streams;
	}

	private static List<RequestStream> skewOneEntry() {
		List<RequestStream> streams = new ArrayList<>(skew());
		streams.set(0, streams.get(0).viaEntry(0));
		return streams;
	}

	private static List<RequestStream> mixed() {
		List<RequestStream> streams = new ArrayList<>(evenLoad(0.5));
		for (int each = 0; each < 2; each++) {
			streams.add(RequestStream.steady("org-" + each, 0.25 * defaultCapacityPerSecond() / 20)
				.withCost(20, Duration.ofSeconds(20)));
		}
		return streams;
	}

	private static List<RequestStream> saturation() {
		List<RequestStream> streams = new ArrayList<>();
		for (RequestStream stream : evenLoad(2.0 / 3)) {
			streams.add(stream.withPriority(Priority.URGENT));
			streams.add(stream);
			streams.add(stream.withPriority(Priority.BULK));
		}
		return streams;
	}

	/**
	 * A state change of one runner.
	 *
	 * @param at the virtual time of the change
	 * @param runner the index of the runner
	 * @param kind the new state
	 */
	public record Fault(Duration at, int runner, Kind kind) {

		/**
		 * The state of a runner.
		 */
		public enum Kind {

			/** Takes ten times as long for calls that start from now on. */
			SLOW,
			/** Its link is closed and all its calls fail. */
			UNREACHABLE,
			/** Fails each call as soon as it has started. */
			FAILING,
			/** Recovered from any fault. */
			HEALTHY

		}

	}

}
