package org.wisteriapost.policy.transfer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Simulates the link of one VM in virtual time. Peers hold all chunks, serve several
 * fetches in turn, and send each chunk in parts at their own upload rate; parts and
 * requests to the engine queue on the link to this VM.
 */
final class SimulatedLink {

	private static final long MILLI = 1_000_000;

	private static final double SECOND = 1e9;

	private static final double PART_SECONDS = 0.012;

	// Fetches that a peer serves in turn.
	private static final int CONCURRENT_UPLOADS = 6;

	private static final long LATENCY = MILLI / 2;

	private static final long TICK = 20 * MILLI;

	private static final long REQUEST_INTERVAL = 100 * MILLI;

	private static final int REQUEST_BYTES = 1_100;

	private final TransferStateMachine machine;

	private final ChunkIndex chunks;

	private final double uploadRate;

	private final PriorityQueue<Step> steps = new PriorityQueue<>(
			Comparator.comparingLong(Step::at).thenComparingLong(Step::number));

	private final Map<Integer, Integer> received = new HashMap<>();

	private double rate;

	private long now;

	private long sequence;

	private long idleAt;

	SimulatedLink(TransferStateMachine machine, ChunkIndex chunks, double rate, double uploadRate) {
		this.machine = machine;
		this.chunks = chunks;
		this.rate = rate;
		this.uploadRate = uploadRate;
		schedule(TICK, this::tick);
		schedule(REQUEST_INTERVAL, this::request);
	}

	/**
	 * Sets the capacity of the link in bytes per second.
	 */
	void setRate(double bytesPerSecond) {
		long remaining = Math.max(0, this.idleAt - this.now);
		this.idleAt = this.now + (long) (remaining * this.rate / bytesPerSecond);
		this.rate = bytesPerSecond;
	}

	/**
	 * Runs until a time and returns the longest queueing delay after another; both times
	 * and the delay are in seconds.
	 */
	double run(double from, double until) {
		long longest = 0;
		while (!this.steps.isEmpty() && this.steps.peek().at() <= (long) (until * SECOND)) {
			Step step = this.steps.poll();
			this.now = step.at();
			step.action().run();
			longest = (this.now >= (long) (from * SECOND)) ? Math.max(longest, this.idleAt - this.now) : 0;
		}
		this.now = (long) (until * SECOND);
		return longest / SECOND;
	}

	void apply(TransferEvent event) {
		this.machine.apply(event, this.now).forEach(this::carryOut);
	}

	int verified() {
		return this.machine.verifiedCount();
	}

	/**
	 * Returns how many chunks were received more than once.
	 */
	int duplicateChunks() {
		return (int) this.received.values().stream().filter((times) -> times > 1).count();
	}

	private void tick() {
		apply(new TransferEvent.Tick());
		schedule(TICK, this::tick);
	}

	private void request() {
		enqueue(REQUEST_BYTES);
		schedule(REQUEST_INTERVAL, this::request);
	}

	private void enqueue(int bytes) {
		this.idleAt = Math.max(this.now, this.idleAt) + (long) (bytes / this.rate * SECOND);
	}

	private void carryOut(TransferEffect effect) {
		if (effect instanceof TransferEffect.Request request) {
			schedule(LATENCY, () -> send(request, request.offset()));
		}
		else if (effect instanceof TransferEffect.Store store) {
			schedule(MILLI / 5, () -> apply(new TransferEvent.Stored(store.chunk())));
		}
	}

	private void send(TransferEffect.Request request, int offset) {
		int chunkBytes = this.chunks.length(request.chunk());
		int requestedEnd = (request.length() > 0) ? request.offset() + request.length() : chunkBytes;
		int length = Math.min((int) (this.uploadRate * PART_SECONDS), requestedEnd - offset);
		long sendNanos = (long) (length / this.uploadRate * CONCURRENT_UPLOADS * SECOND);
		int end = offset + length;
		schedule(sendNanos, () -> {
			boolean last = end == requestedEnd;
			enqueue(length);
			if (last) {
				schedule(this.idleAt - this.now + LATENCY, () -> arrive(request, requestedEnd));
				return;
			}
			send(request, end);
		});
	}

	private void arrive(TransferEffect.Request request, int end) {
		if (end < this.chunks.length(request.chunk())) {
			apply(new TransferEvent.PartReceived(request.chunk(), request.vm(), end));
			return;
		}
		this.received.merge(request.chunk(), 1, Integer::sum);
		apply(new TransferEvent.Verified(request.chunk(), request.vm()));
	}

	private void schedule(long delay, Runnable action) {
		this.steps.add(new Step(this.now + delay, this.sequence++, action));
	}

	private record Step(long at, long number, Runnable action) {
	}

}
