package org.wisteriapost.standin.bench.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.policy.transfer.ChunkIndex;
import org.wisteriapost.policy.transfer.Peer;
import org.wisteriapost.policy.transfer.TransferEffect;
import org.wisteriapost.policy.transfer.TransferEvent;
import org.wisteriapost.policy.transfer.TransferLimits;
import org.wisteriapost.policy.transfer.TransferStateMachine;

/**
 * A rollout to N VMs in virtual time, reproducible from its seed. A link sends parts of
 * chunks one after another. Queueing on links is modelled; processor time is not.
 */
final class Simulation {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long LATENCY_NANOS = NANOS_PER_MILLI / 2;

	private static final long STORE_NANOS = NANOS_PER_MILLI / 5;

	private static final long TICK_NANOS = 20 * NANOS_PER_MILLI;

	private static final long START_SPREAD_NANOS = 100 * NANOS_PER_MILLI;

	private static final int FRAME_BYTES = 60;

	// Times with the suffix RATIO are multiples of the bound.
	private static final double FAULT_TIME_RATIO = 0.3;

	private static final int THROTTLE_FACTOR = 15;

	// As in the ChunkServer of the agent.
	private static final long MAX_QUEUE_NANOS = 1000 * NANOS_PER_MILLI;

	private static final double TIMEOUT_RATIO = 30;

	private static final double OUTAGE_RATIO = 1.5;

	private static final long CONNECT_TIMEOUT_NANOS = 400 * NANOS_PER_MILLI;

	private final Plan plan;

	private final UniformRandomProvider random;

	private final Invariants invariants = Invariants.create();

	private final PriorityQueue<Step> steps = new PriorityQueue<>();

	private final Map<String, SimulatedVm> vms = new HashMap<>();

	private final List<SimulatedVm> order = new ArrayList<>();

	private final ChunkIndex chunks;

	private long now;

	private long sequence;

	private long originFreeAt;

	private long originChunks;

	private long remoteChunks;

	private boolean originChanged;

	private int unfinishedCount;

	private Simulation(Plan plan) {
		this.plan = plan;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.seed());
		int chunkBytes = plan.chunkBytes();
		List<String> hashes = IntStream.range(0, plan.chunks()).mapToObj((index) -> "chunk-" + index).toList();
		this.chunks = ChunkIndex.of(List
			.of(new WeightFile("model", "1", "model", "etag", (long) chunkBytes * plan.chunks(), chunkBytes, hashes)));
	}

	/**
	 * Runs a rollout and returns its results.
	 */
	static Result run(Plan plan) {
		Simulation simulation = new Simulation(plan);
		simulation.createVms();
		simulation.schedule(simulation.boundNanos(FAULT_TIME_RATIO), simulation::injectFault);
		simulation.loop();
		return simulation.result();
	}

	private void createVms() {
		for (int i = 0; i < this.plan.vms(); i++) {
			Peer peer = new Peer("vm-" + i, "place-" + i % this.plan.failureDomains());
			TransferStateMachine transfer = TransferStateMachine.create(this.chunks, peer, this.plan.limits(),
					RandomSource.XO_RO_SHI_RO_128_PP.create(this.random.nextLong()), this.invariants);
			SimulatedVm vm = new SimulatedVm(peer, transfer);
			this.vms.put(peer.vm(), vm);
			this.order.add(vm);
		}
		this.unfinishedCount = this.order.size();
		this.order.getLast().corrupt = this.plan.fault() == FaultScenario.CORRUPT;
		markUnavailable();
		for (SimulatedVm vm : this.order) {
			long start = this.random.nextLong(START_SPREAD_NANOS);
			schedule(start, () -> start(vm));
		}
	}

	private void markUnavailable() {
		boolean absent = this.plan.fault() == FaultScenario.ABSENT;
		if (absent || this.plan.fault() == FaultScenario.IDLE) {
			this.order.subList(0, affectedCount()).forEach((vm) -> {
				vm.crashed = absent;
				vm.idle = !absent;
				this.unfinishedCount--;
			});
		}
	}

	private int affectedCount() {
		return Math.max(1, this.order.size() / 10);
	}

	private void start(SimulatedVm vm) {
		List<Peer> others = this.order.stream().filter((other) -> other != vm).map((other) -> other.peer).toList();
		apply(vm, new TransferEvent.RateSet(this.plan.linkBytesPerSecond()));
		apply(vm, new TransferEvent.PeersChanged(others));
		apply(vm, new TransferEvent.StoreScanned(new BitSet()));
		tick(vm);
	}

	private void tick(SimulatedVm vm) {
		if (vm.isUnavailable() || vm.failed || vm.finishedAt >= 0) {
			return;
		}
		apply(vm, new TransferEvent.Tick());
		schedule(TICK_NANOS, () -> tick(vm));
	}

	private void loop() {
		long end = boundNanos(TIMEOUT_RATIO);
		while (!this.steps.isEmpty() && this.unfinishedCount > 0 && this.now < end) {
			Step step = this.steps.poll();
			this.now = step.at;
			step.action.run();
		}
	}

	private void injectFault() {
		int affected = affectedCount();
		switch (this.plan.fault()) {
			case NONE, CORRUPT, ABSENT, IDLE, AWAY -> {
			}
			case KILL -> this.order.subList(0, affected).forEach(this::kill);
			case STALL -> this.order.subList(0, affected).forEach(this::stall);
			case CHANGE -> this.originChanged = true;
			case SQUEEZE -> this.order.subList(0, this.order.size() / 3).forEach(this::throttle);
		}
	}

	private void kill(SimulatedVm vm) {
		vm.crashed = true;
		disconnectPeers(vm);
	}

	private void stall(SimulatedVm vm) {
		vm.stalled = true;
		this.unfinishedCount -= (vm.finishedAt < 0) ? 1 : 0;
	}

	private void throttle(SimulatedVm vm) {
		vm.slowdownFactor = THROTTLE_FACTOR;
		this.unfinishedCount -= (vm.finishedAt < 0) ? 1 : 0;
	}

	private void disconnectPeers(SimulatedVm vm) {
		this.unfinishedCount -= (vm.finishedAt < 0) ? 1 : 0;
		for (SimulatedVm other : this.order) {
			if (other.links.contains(vm.peer.vm())) {
				schedule(LATENCY_NANOS, () -> dropLink(other, vm));
			}
			other.subscribers.remove(vm);
		}
	}

	private void dropLink(SimulatedVm from, SimulatedVm to) {
		from.links.remove(to.peer.vm());
		apply(from, new TransferEvent.LinkDown(to.peer.vm()));
	}

	private void apply(SimulatedVm vm, TransferEvent event) {
		// A completed transfer only serves chunks; its state machine gets no events.
		if (vm.isUnavailable() || vm.finishedAt >= 0) {
			return;
		}
		for (TransferEffect effect : vm.transfer.apply(event, this.now)) {
			execute(vm, effect);
		}
	}

	private void execute(SimulatedVm vm, TransferEffect effect) {
		switch (effect) {
			case TransferEffect.Connect to -> schedule(2 * LATENCY_NANOS, () -> connect(vm, this.vms.get(to.vm())));
			case TransferEffect.Disconnect disconnect -> vm.links.remove(disconnect.vm());
			case TransferEffect.Request request -> {
				vm.controlBytes += FRAME_BYTES;
				schedule(LATENCY_NANOS, () -> request(vm, this.vms.get(request.vm()), request));
			}
			case TransferEffect.DiscardParts drop -> {
			}
			case TransferEffect.ReadOrigin read -> readOrigin(vm, read.chunk());
			case TransferEffect.Store store -> schedule(STORE_NANOS, () -> stored(vm, store.chunk()));
			case TransferEffect.Copy copy -> schedule(STORE_NANOS, () -> stored(vm, copy.to()));
			case TransferEffect.Announce announce -> announce(vm, announce.chunks());
			case TransferEffect.Complete complete -> finish(vm);
			case TransferEffect.VersionChanged changed -> fail(vm);
			case TransferEffect.Fail fail -> fail(vm);
			case TransferEffect.Notice notice -> {
			}
		}
	}

	private void connect(SimulatedVm from, SimulatedVm to) {
		if (to.crashed) {
			apply(from, new TransferEvent.LinkDown(to.peer.vm()));
			return;
		}
		from.links.add(to.peer.vm());
		from.controlBytes += 2 * FRAME_BYTES;
		apply(from, new TransferEvent.LinkUp(to.peer.vm()));
		if (to.stalled) {
			return;
		}
		to.subscribers.add(from);
		to.controlBytes += 2 * FRAME_BYTES + this.chunks.count() / 8;
		if (to.idle) {
			schedule(LATENCY_NANOS, () -> apply(from, new TransferEvent.PeerNotFetching(to.peer.vm())));
			return;
		}
		BitSet held = to.transfer.heldChunks();
		schedule(LATENCY_NANOS, () -> apply(from, new TransferEvent.PeerHolds(to.peer.vm(), held)));
	}

	private void announce(SimulatedVm vm, BitSet added) {
		for (SimulatedVm to : vm.subscribers) {
			vm.controlBytes += FRAME_BYTES + 2 * added.cardinality();
			schedule(LATENCY_NANOS, () -> apply(to, new TransferEvent.PeerHolds(vm.peer.vm(), added)));
		}
	}

	private void request(SimulatedVm from, SimulatedVm to, TransferEffect.Request request) {
		int chunk = request.chunk();
		if (to.isUnavailable()) {
			return;
		}
		boolean held = to.stored.get(chunk);
		if (!held || !to.uploads.offer(from, new SimulatedVm.Upload(from, request, this.now))) {
			to.controlBytes += FRAME_BYTES;
			schedule(LATENCY_NANOS, () -> apply(from, new TransferEvent.Refused(chunk, to.peer.vm(), held)));
			return;
		}
		startNextUpload(to);
	}

	private void startNextUpload(SimulatedVm vm) {
		if (vm.sending || vm.isUnavailable()) {
			return;
		}
		vm.uploads.next().ifPresent((upload) -> {
			if (this.now - upload.queuedAt() > MAX_QUEUE_NANOS) {
				int chunk = upload.request().chunk();
				schedule(LATENCY_NANOS, () -> apply(upload.to(), new TransferEvent.Refused(chunk, vm.peer.vm(), true)));
				startNextUpload(vm);
				return;
			}
			vm.sending = true;
			schedule(partNanos(upload) * vm.slowdownFactor, () -> {
				vm.sending = false;
				deliver(vm, upload);
				startNextUpload(vm);
			});
		});
	}

	private void deliver(SimulatedVm from, SimulatedVm.Upload upload) {
		SimulatedVm to = upload.to();
		boolean last = upload.request().length() == 0;
		this.remoteChunks += (last && !from.peer.failureDomain().equals(to.peer.failureDomain())) ? 1 : 0;
		if (from.isUnavailable() || to.isUnavailable() || !to.links.contains(from.peer.vm())) {
			return;
		}
		to.receiveFreeAt = Math.max(this.now, to.receiveFreeAt + partNanos(upload) * to.slowdownFactor);
		schedule(to.receiveFreeAt - this.now + LATENCY_NANOS, () -> {
			if (last) {
				arrive(to, upload.request().chunk(), from.peer.vm(), from.corrupt);
				return;
			}
			int end = upload.request().offset() + upload.request().length();
			apply(to, new TransferEvent.PartReceived(upload.request().chunk(), from.peer.vm(), end));
		});
	}

	private void arrive(SimulatedVm to, int chunk, String source, boolean bad) {
		to.received++;
		apply(to, bad ? new TransferEvent.Corrupt(chunk, source) : new TransferEvent.Verified(chunk, source));
	}

	private void readOrigin(SimulatedVm vm, int chunk) {
		if (this.originChanged) {
			schedule(2 * LATENCY_NANOS, () -> apply(vm, new TransferEvent.OriginReadFailed(chunk, true)));
			return;
		}
		if (originUnreachable()) {
			schedule(CONNECT_TIMEOUT_NANOS, () -> apply(vm, new TransferEvent.OriginReadFailed(chunk, false)));
			return;
		}
		this.originChunks++;
		this.originFreeAt = Math.max(this.now + LATENCY_NANOS, this.originFreeAt) + originNanos();
		schedule(this.originFreeAt - this.now, () -> deliverFromOrigin(vm, chunk));
	}

	private boolean originUnreachable() {
		return this.plan.fault() == FaultScenario.AWAY && this.now >= boundNanos(FAULT_TIME_RATIO)
				&& this.now < boundNanos(FAULT_TIME_RATIO + OUTAGE_RATIO);
	}

	private void deliverFromOrigin(SimulatedVm vm, int chunk) {
		vm.receiveFreeAt = Math.max(this.now + originNanos(), vm.receiveFreeAt + chunkNanos() * vm.slowdownFactor);
		schedule(vm.receiveFreeAt - this.now + LATENCY_NANOS,
				() -> arrive(vm, chunk, TransferStateMachine.ORIGIN, false));
	}

	private void stored(SimulatedVm vm, int chunk) {
		if (vm.isUnavailable()) {
			return;
		}
		vm.stored.set(chunk);
		apply(vm, new TransferEvent.Stored(chunk));
	}

	private void finish(SimulatedVm vm) {
		this.invariants.holds(vm.stored.cardinality() == this.chunks.count(), "complete-means-whole", vm.peer.vm());
		vm.finishedAt = this.now;
		this.unfinishedCount -= (vm.slowdownFactor == 1) ? 1 : 0;
	}

	private void fail(SimulatedVm vm) {
		vm.failed = true;
		this.unfinishedCount -= (vm.finishedAt < 0) ? 1 : 0;
	}

	private void schedule(long delay, Runnable action) {
		this.steps.add(new Step(this.now + delay, this.sequence++, action));
	}

	private long chunkNanos() {
		return (long) (this.plan.chunkBytes() * 1e9 / this.plan.linkBytesPerSecond());
	}

	private long partNanos(SimulatedVm.Upload upload) {
		TransferEffect.Request request = upload.request();
		int bytes = (request.length() > 0) ? request.length() : this.plan.chunkBytes() - request.offset();
		return (long) (bytes * 1e9 / this.plan.linkBytesPerSecond());
	}

	private long originNanos() {
		return (long) (chunkNanos() / this.plan.originRatio());
	}

	private long boundNanos(double share) {
		return (long) (share * this.plan.chunks() * chunkNanos());
	}

	private Result result() {
		List<SimulatedVm> healthy = this.order.stream()
			.filter((vm) -> !vm.isUnavailable() && vm.slowdownFactor == 1)
			.toList();
		double bound = boundNanos(1);
		long finished = healthy.stream().filter((vm) -> vm.finishedAt >= 0).count();
		double last = healthy.stream().mapToLong((vm) -> vm.finishedAt).max().orElse(0) / bound;
		double mean = healthy.stream().mapToLong((vm) -> vm.finishedAt).average().orElse(0) / bound;
		double control = healthy.stream().mapToLong((vm) -> vm.controlBytes).average().orElse(0);
		double repeats = healthy.stream().mapToLong((vm) -> vm.received).average().orElse(0) / this.chunks.count() - 1;
		return new Result(healthy.size(), (int) finished, (int) healthy.stream().filter((vm) -> vm.failed).count(),
				last, mean, (double) this.originChunks / this.chunks.count(), control, control / (this.now / 1e9),
				repeats, (double) this.remoteChunks / this.chunks.count() / this.plan.failureDomains(),
				this.invariants.violations());
	}

	private record Step(long at, long number, Runnable action) implements Comparable<Step> {

		@Override
		public int compareTo(Step other) {
			int byTime = Long.compare(this.at, other.at);
			return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
		}

	}

	/**
	 * Parameters of a simulated rollout.
	 *
	 * @param limits limits of the transfer design
	 * @param vms number of VMs
	 * @param failureDomains number of failure domains that the VMs are spread over
	 * @param chunks number of chunks of the weights
	 * @param chunkBytes size of a chunk
	 * @param linkBytesPerSecond bandwidth of a VM in each direction
	 * @param originRatio bandwidth of the origin as a multiple of a VM's
	 * @param fault the fault to inject
	 * @param seed seed of all random choices
	 */
	record Plan(TransferLimits limits, int vms, int failureDomains, int chunks, int chunkBytes,
			double linkBytesPerSecond, double originRatio, FaultScenario fault, long seed) {
	}

	/**
	 * Results of a rollout. The bound is the time that the weights take over one link.
	 *
	 * @param healthy VMs not affected by a fault
	 * @param finished healthy VMs that received all weights
	 * @param failed healthy VMs whose fetch failed
	 * @param lastRatio time until the last healthy VM finished, relative to the bound
	 * @param meanRatio mean time until a healthy VM finished, relative to the bound
	 * @param originCopies copies of the weights read from the origin
	 * @param controlBytes mean bytes sent per VM other than chunks
	 * @param controlBytesPerSecond the same per second of the rollout
	 * @param duplicateShare chunks received more than once, as a share of the weights
	 * @param remoteCopies copies received per failure domain from other failure domains
	 * @param violations violated invariants and their counts, by name
	 */
	record Result(int healthy, int finished, int failed, double lastRatio, double meanRatio, double originCopies,
			double controlBytes, double controlBytesPerSecond, double duplicateShare, double remoteCopies,
			Map<String, Long> violations) {
	}

}
