package org.wisteriapost.standin.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.membership.Member;
import org.wisteriapost.protocol.outside.Platform;

/**
 * A small fleet: entries, endpoint VMs of two services in three places, callers,
 * operators, a platform.
 */
final class SoakWorld {

	static final String MODEL_SERVICE = "lm";

	static final String PLAIN_SERVICE = "registry";

	static final List<String> PLACES = List.of("place-a", "place-b", "place-c");

	private static final int ENTRIES = 3;

	private static final int ENGINES = 6;

	private static final int PLAINS = 3;

	private static final long REPLACE_NANOS = 2 * VirtualTime.SECOND;

	private static final long START_NANOS = 20 * VirtualTime.SECOND;

	private static final long QUIET_NANOS = 120 * VirtualTime.SECOND;

	private final VirtualTime time;

	private final Invariants invariants = Invariants.create();

	private final SoakLedger ledger = new SoakLedger(this.invariants);

	private final SoakPlatform platform;

	private final SoakOperators operators;

	private final SoakFaults faults;

	private final Map<String, SoakEntry> entries = new LinkedHashMap<>();

	private final Map<String, SoakVm> vms = new LinkedHashMap<>();

	private int names;

	private long pauses;

	SoakWorld(long seed) {
		this.time = new VirtualTime(seed);
		this.platform = new SoakPlatform(this.time);
		this.operators = new SoakOperators(this);
		this.faults = new SoakFaults(this);
		this.platform.watched(this::written);
	}

	/**
	 * Runs a fleet under faults, then in quiet until all must be well again.
	 */
	void run(long nanos) {
		for (int i = 0; i < ENTRIES; i++) {
			startEntry(PLACES.get(i % PLACES.size()));
		}
		for (int i = 0; i < ENGINES + PLAINS; i++) {
			startVm(PLACES.get(i % PLACES.size()), i >= ENGINES);
		}
		this.operators.roll(false);
		this.time.run(START_NANOS);
		SoakCallers callers = new SoakCallers(this);
		callers.start();
		this.faults.start();
		this.time.run(nanos);
		this.faults.heal();
		this.time.run(QUIET_NANOS / 2);
		callers.stop();
		this.time.run(QUIET_NANOS / 2);
		checkInForce();
		processes().forEach(SoakProcess::end);
		this.time.run(VirtualTime.SECOND);
	}

	VirtualTime time() {
		return this.time;
	}

	Invariants invariants() {
		return this.invariants;
	}

	SoakLedger ledger() {
		return this.ledger;
	}

	SoakPlatform platform() {
		return this.platform;
	}

	SoakOperators operators() {
		return this.operators;
	}

	SoakFaults faults() {
		return this.faults;
	}

	List<SoakEntry> entries() {
		return List.copyOf(this.entries.values());
	}

	List<SoakVm> vms() {
		return List.copyOf(this.vms.values());
	}

	List<SoakProcess> processes() {
		List<SoakProcess> all = new ArrayList<>(this.entries.values());
		all.addAll(this.vms.values());
		return all;
	}

	Optional<SoakEntry> entry(String name) {
		return Optional.ofNullable(this.entries.get(name));
	}

	Optional<SoakVm> vm(String name) {
		return Optional.ofNullable(this.vms.get(name));
	}

	/**
	 * Returns an entry as a caller would choose it: among those that one of them names.
	 */
	Optional<SoakEntry> anyEntry() {
		List<SoakEntry> up = entries().stream().filter((entry) -> !entry.paused()).toList();
		if (up.isEmpty()) {
			return Optional.empty();
		}
		SoakEntry asked = up.get(this.time.random().nextInt(up.size()));
		List<String> named = asked.view().entries();
		if (named.isEmpty()) {
			return Optional.of(asked);
		}
		String address = named.get(this.time.random().nextInt(named.size()));
		return entry(address.substring("http://".length(), address.lastIndexOf(':')));
	}

	/**
	 * Returns the VM list as it is now.
	 */
	List<Member> members() {
		List<Member> members = new ArrayList<>();
		this.entries.values()
			.forEach((entry) -> members
				.add(new Member(entry.name(), entry.place(), true, "", entry.name(), 1, 1, entry.leaving())));
		this.vms.values()
			.forEach((vm) -> members
				.add(new Member(vm.name(), vm.place(), false, vm.self().service(), vm.name(), 1, 0, vm.leaving())));
		return members;
	}

	List<String> peers(SoakVm self) {
		return this.vms.values()
			.stream()
			.filter((vm) -> vm.place().equals(self.place()) && vm.self().service().equals(self.self().service()))
			.map(SoakProcess::name)
			.toList();
	}

	/**
	 * Puts an object there without a call.
	 */
	void store(String key, byte[] value) {
		this.platform.set(key, value);
	}

	void paused() {
		this.pauses++;
	}

	long pauses() {
		return this.pauses;
	}

	void killEntry() {
		SoakEntry entry = entries().get(this.time.random().nextInt(this.entries.size()));
		entry.end();
		entryEnded(entry);
	}

	void entryEnded(SoakEntry entry) {
		this.entries.remove(entry.name());
		if (this.entries.isEmpty()) {
			startEntry(entry.place());
			return;
		}
		this.time.after(REPLACE_NANOS, () -> startEntry(entry.place()));
	}

	/**
	 * Kills an agent; another starts on the same VM beside the same runner.
	 */
	void killAgent() {
		SoakVm vm = vms().get(this.time.random().nextInt(this.vms.size()));
		vm.end();
		this.vms.put(vm.name(),
				new SoakVm(this, vm.name(), vm.place(), vm.self().service(), vm.self().plainService(), vm.runner()));
	}

	/**
	 * Loses a VM with all that was on it.
	 */
	void replaceVm() {
		SoakVm vm = vms().get(this.time.random().nextInt(this.vms.size()));
		vm.end();
		vm.runner().crash();
		agentEnded(vm);
	}

	void agentEnded(SoakVm vm) {
		if (this.vms.remove(vm.name(), vm)) {
			startVm(vm.place(), vm.self().plainService());
		}
	}

	private void startEntry(String place) {
		String name = "entry-" + this.names++;
		this.entries.put(name, new SoakEntry(this, name, place));
	}

	private void startVm(String place, boolean plain) {
		String name = "vm-" + this.names++;
		SoakRunner runner = new SoakRunner(this.time, this.ledger, plain, this.time.chance(0.5));
		this.vms.put(name, new SoakVm(this, name, place, plain ? PLAIN_SERVICE : MODEL_SERVICE, plain, runner));
	}

	private void written(Platform.Stored stored) {
		if (stored.key().equals("head")) {
			Head head = BundleCodec.head(stored.value());
			this.ledger.rolled(head.generation(), weights(head));
		}
	}

	private String weights(Head head) {
		Bundle bundle = BundleCodec.bundle(this.platform.peek("bundles/" + head.digest()).orElseThrow().value());
		return bundle.weightsDigest(bundle.service(MODEL_SERVICE).orElseThrow());
	}

	private void checkInForce() {
		Head head = BundleCodec.head(this.platform.peek("head").orElseThrow().value());
		for (SoakVm vm : this.vms.values()) {
			boolean right = vm.view().bundleGeneration() == head.generation() && vm.view().admitting()
					&& (vm.self().plainService() || vm.runner().serving().equals(weights(head)));
			this.invariants.holds(right, "in-force-everywhere",
					vm.name() + " " + vm.view().bundleGeneration() + " of " + head.generation() + " " + vm.view()
							+ " runner " + vm.runner().view() + " weights " + weights(head));
		}
		for (SoakEntry entry : this.entries.values()) {
			this.invariants.holds(entry.view().generation() == head.generation(), "in-force-everywhere",
					entry.name() + " " + entry.view().generation() + " of " + head.generation());
		}
	}

}
