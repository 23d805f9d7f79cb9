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
 * One roll over N machines in virtual time, replayed from its seed.
 *
 * Each VM's link carries {@code linkBytesPerSecond} in each direction, the origin's a
 * multiple of that. Parts of pieces take turns on a link; what they wait for is modelled,
 * what processors do is not.
 */
final class Simulation {

	private static final long MILLI = 1_000_000;

	private static final long LATENCY = MILLI / 2;

	private static final long STORE = MILLI / 5;

	private static final long TICK = 20 * MILLI;

	private static final long START_SPREAD = 100 * MILLI;

	private static final int FRAME_BYTES = 60;

	private static final double FAULT_AT = 0.3;

	private static final int SQUEEZED = 15;

	// As the agent's ChunkServer.
	private static final long LONGEST_WAIT = 1000 * MILLI;

	private static final double GIVE_UP_AT = 30;

	private static final double AWAY_FOR = 1.5;

	private static final long CONNECT_TIMEOUT = 400 * MILLI;

	private final Plan plan;

	private final UniformRandomProvider random;

	private final Invariants invariants = Invariants.create();

	private final PriorityQueue<Step> steps = new PriorityQueue<>();

	private final Map<String, SimVm> vms = new HashMap<>();

	private final List<SimVm> order = new ArrayList<>();

	private final ChunkIndex pieces;

	private long now;

	private long sequence;

	private long originFreeAt;

	private long originPieces;

	private long crossed;

	private boolean originChanged;

	private int open;

	private Simulation(Plan plan) {
		this.plan = plan;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.seed());
		int chunk = plan.chunkBytes();
		List<String> chunks = IntStream.range(0, plan.chunks()).mapToObj((index) -> "chunk-" + index).toList();
		this.pieces = ChunkIndex
			.of(List.of(new WeightFile("model", "1", "model", "etag", (long) chunk * plan.chunks(), chunk, chunks)));
	}

	/**
	 * Returns what became of one roll.
	 */
	static Result run(Plan plan) {
		Simulation simulation = new Simulation(plan);
		simulation.populate();
		simulation.schedule(simulation.bound(FAULT_AT), simulation::fault);
		simulation.loop();
		return simulation.result();
	}

	private void populate() {
		for (int i = 0; i < this.plan.vms(); i++) {
			Peer peer = new Peer("vm-" + i, "place-" + i % this.plan.places());
			TransferStateMachine machine = TransferStateMachine.create(this.pieces, peer, this.plan.limits(),
					RandomSource.XO_RO_SHI_RO_128_PP.create(this.random.nextLong()), this.invariants);
			SimVm vm = new SimVm(peer, machine);
			this.vms.put(peer.vm(), vm);
			this.order.add(vm);
		}
		this.open = this.order.size();
		this.order.getLast().corrupt = this.plan.faults() == Faults.CORRUPT;
		missing();
		for (SimVm vm : this.order) {
			long start = this.random.nextLong(START_SPREAD);
			schedule(start, () -> begin(vm));
		}
	}

	private void missing() {
		boolean absent = this.plan.faults() == Faults.ABSENT;
		if (absent || this.plan.faults() == Faults.IDLE) {
			this.order.subList(0, hit()).forEach((vm) -> {
				vm.dead = absent;
				vm.idle = !absent;
				this.open--;
			});
		}
	}

	private int hit() {
		return Math.max(1, this.order.size() / 10);
	}

	private void begin(SimVm vm) {
		List<Peer> others = this.order.stream().filter((other) -> other != vm).map((other) -> other.peer).toList();
		apply(vm, new TransferEvent.RateSet(this.plan.linkBytesPerSecond()));
		apply(vm, new TransferEvent.PeersChanged(others));
		apply(vm, new TransferEvent.StoreScanned(new BitSet()));
		tick(vm);
	}

	private void tick(SimVm vm) {
		if (vm.gone() || vm.failed || vm.finishedAt >= 0) {
			return;
		}
		apply(vm, new TransferEvent.Tick());
		schedule(TICK, () -> tick(vm));
	}

	private void loop() {
		long end = bound(GIVE_UP_AT);
		while (!this.steps.isEmpty() && this.open > 0 && this.now < end) {
			Step step = this.steps.poll();
			this.now = step.at;
			step.action.run();
		}
	}

	private void fault() {
		int hit = hit();
		switch (this.plan.faults()) {
			case NONE, CORRUPT, ABSENT, IDLE, AWAY -> {
			}
			case KILL -> this.order.subList(0, hit).forEach(this::kill);
			case STALL -> this.order.subList(0, hit).forEach(this::stall);
			case CHANGE -> this.originChanged = true;
			case SQUEEZE -> this.order.subList(0, this.order.size() / 3).forEach(this::squeeze);
		}
	}

	private void kill(SimVm vm) {
		vm.dead = true;
		leave(vm);
	}

	private void stall(SimVm vm) {
		vm.stalled = true;
		this.open -= (vm.finishedAt < 0) ? 1 : 0;
	}

	private void squeeze(SimVm vm) {
		vm.slower = SQUEEZED;
		this.open -= (vm.finishedAt < 0) ? 1 : 0;
	}

	private void leave(SimVm vm) {
		this.open -= (vm.finishedAt < 0) ? 1 : 0;
		for (SimVm other : this.order) {
			if (other.links.contains(vm.peer.vm())) {
				schedule(LATENCY, () -> drop(other, vm));
			}
			other.subscribers.remove(vm);
		}
	}

	private void drop(SimVm from, SimVm to) {
		from.links.remove(to.peer.vm());
		apply(from, new TransferEvent.LinkDown(to.peer.vm()));
	}

	private void apply(SimVm vm, TransferEvent event) {
		// A transfer whose fetch is whole only serves: its machine hears no more.
		if (vm.gone() || vm.finishedAt >= 0) {
			return;
		}
		for (TransferEffect effect : vm.machine.apply(event, this.now)) {
			carryOut(vm, effect);
		}
	}

	private void carryOut(SimVm vm, TransferEffect effect) {
		switch (effect) {
			case TransferEffect.Connect connect -> schedule(2 * LATENCY, () -> connect(vm, this.vms.get(connect.vm())));
			case TransferEffect.Disconnect disconnect -> vm.links.remove(disconnect.vm());
			case TransferEffect.Request request -> {
				vm.controlBytes += FRAME_BYTES;
				schedule(LATENCY, () -> request(vm, this.vms.get(request.vm()), request));
			}
			case TransferEffect.DiscardParts drop -> {
			}
			case TransferEffect.ReadOrigin read -> readOrigin(vm, read.chunk());
			case TransferEffect.Store store -> schedule(STORE, () -> stored(vm, store.chunk()));
			case TransferEffect.Copy copy -> schedule(STORE, () -> stored(vm, copy.to()));
			case TransferEffect.Announce announce -> announce(vm, announce.chunks());
			case TransferEffect.Complete complete -> finish(vm);
			case TransferEffect.VersionChanged changed -> fail(vm);
			case TransferEffect.Fail fail -> fail(vm);
			case TransferEffect.Notice notice -> {
			}
		}
	}

	private void connect(SimVm from, SimVm to) {
		if (to.dead) {
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
		to.controlBytes += 2 * FRAME_BYTES + this.pieces.count() / 8;
		if (to.idle) {
			schedule(LATENCY, () -> apply(from, new TransferEvent.PeerNotFetching(to.peer.vm())));
			return;
		}
		BitSet held = to.machine.heldChunks();
		schedule(LATENCY, () -> apply(from, new TransferEvent.PeerHolds(to.peer.vm(), held)));
	}

	private void announce(SimVm vm, BitSet added) {
		for (SimVm to : vm.subscribers) {
			vm.controlBytes += FRAME_BYTES + 2 * added.cardinality();
			schedule(LATENCY, () -> apply(to, new TransferEvent.PeerHolds(vm.peer.vm(), added)));
		}
	}

	private void request(SimVm from, SimVm to, TransferEffect.Request request) {
		int piece = request.chunk();
		if (to.gone()) {
			return;
		}
		boolean held = to.stored.get(piece);
		if (!held || !to.uploads.offer(from, new SimVm.Upload(from, request, this.now))) {
			to.controlBytes += FRAME_BYTES;
			schedule(LATENCY, () -> apply(from, new TransferEvent.Refused(piece, to.peer.vm(), held)));
			return;
		}
		pump(to);
	}

	private void pump(SimVm vm) {
		if (vm.sending || vm.gone()) {
			return;
		}
		vm.uploads.next().ifPresent((upload) -> {
			if (this.now - upload.at() > LONGEST_WAIT) {
				int piece = upload.request().chunk();
				schedule(LATENCY, () -> apply(upload.to(), new TransferEvent.Refused(piece, vm.peer.vm(), true)));
				pump(vm);
				return;
			}
			vm.sending = true;
			schedule(partNanos(upload) * vm.slower, () -> {
				vm.sending = false;
				deliver(vm, upload);
				pump(vm);
			});
		});
	}

	private void deliver(SimVm from, SimVm.Upload upload) {
		SimVm to = upload.to();
		boolean last = upload.request().length() == 0;
		this.crossed += (last && !from.peer.failureDomain().equals(to.peer.failureDomain())) ? 1 : 0;
		if (from.gone() || to.gone() || !to.links.contains(from.peer.vm())) {
			return;
		}
		to.receiveFreeAt = Math.max(this.now, to.receiveFreeAt + partNanos(upload) * to.slower);
		schedule(to.receiveFreeAt - this.now + LATENCY, () -> {
			if (last) {
				arrive(to, upload.request().chunk(), from.peer.vm(), from.corrupt);
				return;
			}
			int end = upload.request().offset() + upload.request().length();
			apply(to, new TransferEvent.PartReceived(upload.request().chunk(), from.peer.vm(), end));
		});
	}

	private void arrive(SimVm to, int piece, String source, boolean bad) {
		to.received++;
		apply(to, bad ? new TransferEvent.Corrupt(piece, source) : new TransferEvent.Verified(piece, source));
	}

	private void readOrigin(SimVm vm, int piece) {
		if (this.originChanged) {
			schedule(2 * LATENCY, () -> apply(vm, new TransferEvent.OriginReadFailed(piece, true)));
			return;
		}
		if (away()) {
			schedule(CONNECT_TIMEOUT, () -> apply(vm, new TransferEvent.OriginReadFailed(piece, false)));
			return;
		}
		this.originPieces++;
		this.originFreeAt = Math.max(this.now + LATENCY, this.originFreeAt) + originNanos();
		schedule(this.originFreeAt - this.now, () -> deliverFromOrigin(vm, piece));
	}

	private boolean away() {
		return this.plan.faults() == Faults.AWAY && this.now >= bound(FAULT_AT)
				&& this.now < bound(FAULT_AT + AWAY_FOR);
	}

	private void deliverFromOrigin(SimVm vm, int piece) {
		vm.receiveFreeAt = Math.max(this.now + originNanos(), vm.receiveFreeAt + pieceNanos() * vm.slower);
		schedule(vm.receiveFreeAt - this.now + LATENCY, () -> arrive(vm, piece, TransferStateMachine.ORIGIN, false));
	}

	private void stored(SimVm vm, int piece) {
		if (vm.gone()) {
			return;
		}
		vm.stored.set(piece);
		apply(vm, new TransferEvent.Stored(piece));
	}

	private void finish(SimVm vm) {
		this.invariants.holds(vm.stored.cardinality() == this.pieces.count(), "complete-means-whole", vm.peer.vm());
		vm.finishedAt = this.now;
		this.open -= (vm.slower == 1) ? 1 : 0;
	}

	private void fail(SimVm vm) {
		vm.failed = true;
		this.open -= (vm.finishedAt < 0) ? 1 : 0;
	}

	private void schedule(long delay, Runnable action) {
		this.steps.add(new Step(this.now + delay, this.sequence++, action));
	}

	private long pieceNanos() {
		return (long) (this.plan.chunkBytes() * 1e9 / this.plan.linkBytesPerSecond());
	}

	private long partNanos(SimVm.Upload upload) {
		TransferEffect.Request request = upload.request();
		int bytes = (request.length() > 0) ? request.length() : this.plan.chunkBytes() - request.offset();
		return (long) (bytes * 1e9 / this.plan.linkBytesPerSecond());
	}

	private long originNanos() {
		return (long) (pieceNanos() / this.plan.originRatio());
	}

	private long bound(double share) {
		return (long) (share * this.plan.chunks() * pieceNanos());
	}

	private Result result() {
		List<SimVm> healthy = this.order.stream().filter((vm) -> !vm.gone() && vm.slower == 1).toList();
		double bound = bound(1);
		long finished = healthy.stream().filter((vm) -> vm.finishedAt >= 0).count();
		double last = healthy.stream().mapToLong((vm) -> vm.finishedAt).max().orElse(0) / bound;
		double mean = healthy.stream().mapToLong((vm) -> vm.finishedAt).average().orElse(0) / bound;
		double control = healthy.stream().mapToLong((vm) -> vm.controlBytes).average().orElse(0);
		double doubled = healthy.stream().mapToLong((vm) -> vm.received).average().orElse(0) / this.pieces.count() - 1;
		return new Result(healthy.size(), (int) finished, (int) healthy.stream().filter((vm) -> vm.failed).count(),
				last, mean, (double) this.originPieces / this.pieces.count(), control, control / (this.now / 1e9),
				doubled, (double) this.crossed / this.pieces.count() / this.plan.places(),
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
	 * What to simulate.
	 *
	 * @param limits the design
	 * @param vms how many
	 * @param places failure domains they are spread over
	 * @param chunks of the weights
	 * @param chunkBytes size of each
	 * @param linkBytesPerSecond of a VM, each way
	 * @param originRatio the origin's link as a multiple of a VM's
	 * @param faults what goes wrong
	 * @param seed of all chance
	 */
	record Plan(TransferLimits limits, int vms, int places, int chunks, int chunkBytes, double linkBytesPerSecond,
			double originRatio, Faults faults, long seed) {
	}

	/**
	 * What became of it.
	 *
	 * @param healthy VMs that no fault hit
	 * @param finished of these, with all weights
	 * @param failed of these, which gave up
	 * @param last when the last had all, as a multiple of the bound
	 * @param mean when they had all on average, as a multiple of the bound
	 * @param originCopies read from the origin
	 * @param controlBytes sent by each VM on average, besides pieces
	 * @param controlBytesPerSecond the same for each second of the roll
	 * @param received more than once, as a share of the weights
	 * @param crossed copies that came into each place from others
	 * @param violations of invariants, by name
	 */
	record Result(int healthy, int finished, int failed, double last, double mean, double originCopies,
			double controlBytes, double controlBytesPerSecond, double received, double crossed,
			Map<String, Long> violations) {
	}

}
