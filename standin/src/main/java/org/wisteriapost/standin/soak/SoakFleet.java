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
 * A simulated fleet: entries, endpoint VMs of two services in three failure domains,
 * callers, operators and a platform.
 */
final class SoakFleet {

	static final String MODEL_SERVICE = "lm";

	static final String PLAIN_SERVICE = "registry";

	static final List<String> FAILURE_DOMAINS = List.of("place-a", "place-b", "place-c");

	private static final int ENTRIES = 3;

	private static final int MODEL_VMS = 6;

	private static final int PLAIN_VMS = 3;

	private static final long ENTRY_RESTART_DELAY_NANOS = 2 * VirtualTime.SECOND;

	private static final long WARM_UP_NANOS = 20 * VirtualTime.SECOND;

	private static final long RECOVERY_NANOS = 120 * VirtualTime.SECOND;

	private final VirtualTime time;

	private final Invariants invariants = Invariants.create();

	private final SoakLedger ledger = new SoakLedger(this.invariants);

	private final SoakPlatform platform;

	private final SoakOperators operators;

	private final SoakFaults faults;

	private final SoakAnswerFaults answerFaults;

	private final Map<String, SoakEntry> entries = new LinkedHashMap<>();

	private final Map<String, SoakVm> vms = new LinkedHashMap<>();

	private final boolean poison;

	private int nextNameNumber;

	private long pauseCount;

	/**
	 * Creates a fleet.
	 */
	SoakFleet(long seed, SoakOptions options) {
		this.poison = options.poison();
		this.time = new VirtualTime(seed);
		this.answerFaults = new SoakAnswerFaults(seed, options, this.ledger);
		this.platform = new SoakPlatform(this.time);
		this.operators = new SoakOperators(this);
		this.faults = new SoakFaults(this);
		this.platform.onWrite(this::onPlatformWrite);
	}

	/**
	 * Runs the fleet with faults and then without, and checks that it has recovered.
	 */
	void run(long nanos) {
		for (int i = 0; i < ENTRIES; i++) {
			startEntry(FAILURE_DOMAINS.get(i % FAILURE_DOMAINS.size()));
		}
		for (int i = 0; i < MODEL_VMS + PLAIN_VMS; i++) {
			startVm(FAILURE_DOMAINS.get(i % FAILURE_DOMAINS.size()), i >= MODEL_VMS);
		}
		this.operators.rollOut(false);
		this.time.run(WARM_UP_NANOS);
		SoakCallers callers = new SoakCallers(this);
		callers.start();
		if (this.poison) {
			callers.startPoison();
		}
		this.faults.start();
		this.time.run(nanos);
		this.faults.heal();
		this.time.run(RECOVERY_NANOS / 2);
		callers.stop();
		this.time.run(RECOVERY_NANOS / 2);
		checkHeadActiveEverywhere();
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
	 * Returns an entry as a caller chooses it: a random one of the advertised entries of
	 * a random entry.
	 */
	Optional<SoakEntry> chooseEntry() {
		List<SoakEntry> running = entries().stream().filter((entry) -> !entry.paused()).toList();
		if (running.isEmpty()) {
			return Optional.empty();
		}
		SoakEntry queried = running.get(this.time.random().nextInt(running.size()));
		List<String> advertised = queried.view().entries();
		if (advertised.isEmpty()) {
			return Optional.of(queried);
		}
		String address = advertised.get(this.time.random().nextInt(advertised.size()));
		return entry(address.substring("http://".length(), address.lastIndexOf(':')));
	}

	List<Member> members() {
		List<Member> members = new ArrayList<>();
		this.entries.values()
			.forEach((entry) -> members
				.add(new Member(entry.name(), entry.failureDomain(), true, "", entry.name(), 1, 1, entry.leaving())));
		this.vms.values()
			.forEach((vm) -> members.add(new Member(vm.name(), vm.failureDomain(), false, vm.identity().service(),
					vm.name(), 1, 0, vm.leaving())));
		return members;
	}

	List<String> peers(SoakVm self) {
		return this.vms.values()
			.stream()
			.filter((vm) -> vm.failureDomain().equals(self.failureDomain())
					&& vm.identity().service().equals(self.identity().service()))
			.map(SoakProcess::name)
			.toList();
	}

	/**
	 * Stores an object without latency or faults.
	 */
	void storeDirectly(String key, byte[] value) {
		this.platform.putDirectly(key, value);
	}

	void countPause() {
		this.pauseCount++;
	}

	long pauseCount() {
		return this.pauseCount;
	}

	void killEntry() {
		SoakEntry entry = entries().get(this.time.random().nextInt(this.entries.size()));
		entry.end();
		entryEnded(entry);
	}

	void entryEnded(SoakEntry entry) {
		this.entries.remove(entry.name());
		if (this.entries.isEmpty()) {
			startEntry(entry.failureDomain());
			return;
		}
		this.time.after(ENTRY_RESTART_DELAY_NANOS, () -> startEntry(entry.failureDomain()));
	}

	/**
	 * Kills an agent and starts another one on the same VM, beside the same runner.
	 */
	void killAgent() {
		SoakVm vm = vms().get(this.time.random().nextInt(this.vms.size()));
		vm.end();
		this.vms.put(vm.name(), new SoakVm(this, vm.name(), vm.failureDomain(), vm.identity().service(),
				vm.identity().plainService(), vm.runner()));
	}

	/**
	 * Kills a VM with its agent and runner, and starts another VM.
	 */
	void replaceVm() {
		SoakVm vm = vms().get(this.time.random().nextInt(this.vms.size()));
		vm.end();
		vm.runner().crash();
		agentEnded(vm);
	}

	void agentEnded(SoakVm vm) {
		if (this.vms.remove(vm.name(), vm)) {
			startVm(vm.failureDomain(), vm.identity().plainService());
		}
	}

	private void startEntry(String failureDomain) {
		String name = "entry-" + this.nextNameNumber++;
		this.entries.put(name, new SoakEntry(this, name, failureDomain));
	}

	private void startVm(String failureDomain, boolean plain) {
		String name = "vm-" + this.nextNameNumber++;
		SoakRunner runner = new SoakRunner(this.time, this.ledger, this.answerFaults, plain, this.time.chance(0.5));
		this.vms.put(name, new SoakVm(this, name, failureDomain, plain ? PLAIN_SERVICE : MODEL_SERVICE, plain, runner));
	}

	private void onPlatformWrite(Platform.Stored stored) {
		if (stored.key().equals("head")) {
			Head head = BundleCodec.head(stored.value());
			this.ledger.recordRollout(head.generation(), weights(head));
		}
	}

	private String weights(Head head) {
		Bundle bundle = BundleCodec.bundle(this.platform.getDirectly("bundles/" + head.digest()).orElseThrow().value());
		return bundle.weightsDigest(bundle.service(MODEL_SERVICE).orElseThrow());
	}

	private void checkHeadActiveEverywhere() {
		Head head = BundleCodec.head(this.platform.getDirectly("head").orElseThrow().value());
		for (SoakVm vm : this.vms.values()) {
			boolean active = vm.view().bundleGeneration() == head.generation() && vm.view().admitting()
					&& (vm.identity().plainService() || vm.runner().weightsDigest().equals(weights(head)));
			this.invariants.holds(active, "in-force-everywhere",
					vm.name() + " " + vm.view().bundleGeneration() + " of " + head.generation() + " " + vm.view()
							+ " runner " + vm.runner().view() + " weights " + weights(head));
		}
		for (SoakEntry entry : this.entries.values()) {
			this.invariants.holds(entry.view().generation() == head.generation(), "in-force-everywhere",
					entry.name() + " " + entry.view().generation() + " of " + head.generation());
		}
	}

}
