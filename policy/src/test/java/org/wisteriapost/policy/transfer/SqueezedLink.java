package org.wisteriapost.policy.transfer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * One machine and the link over which its pieces come, in virtual time. Peers hold all,
 * are busy with others as well, and send what is asked for in parts, each at its share of
 * their own link; the parts wait for one another, and for the requests of the engine
 * beside, on the link to this VM.
 */
final class SqueezedLink {

	private static final long MILLI = 1_000_000;

	private static final double SECOND = 1e9;

	private static final double PART_SECONDS = 0.012;

	// Fetches that a peer serves by turns.
	private static final int TURNS = 6;

	private static final long LATENCY = MILLI / 2;

	private static final long TICK = 20 * MILLI;

	private static final long REQUEST_EACH = 100 * MILLI;

	private static final int REQUEST_BYTES = 1_100;

	private final TransferMachine machine;

	private final Pieces pieces;

	private final double uploadRate;

	private final PriorityQueue<Step> steps = new PriorityQueue<>(
			Comparator.comparingLong(Step::at).thenComparingLong(Step::number));

	private final Map<Integer, Integer> came = new HashMap<>();

	private double rate;

	private long now;

	private long sequence;

	private long freeAt;

	SqueezedLink(TransferMachine machine, Pieces pieces, double rate, double uploadRate) {
		this.machine = machine;
		this.pieces = pieces;
		this.rate = rate;
		this.uploadRate = uploadRate;
		schedule(TICK, this::tick);
		schedule(REQUEST_EACH, this::request);
	}

	/**
	 * Sets the bytes per second that the link carries from now on.
	 */
	void carries(double bytesPerSecond) {
		long left = Math.max(0, this.freeAt - this.now);
		this.freeAt = this.now + (long) (left * this.rate / bytesPerSecond);
		this.rate = bytesPerSecond;
	}

	/**
	 * Plays until a time and returns the longest wait on the link from another, both in
	 * seconds.
	 */
	double run(double from, double until) {
		long longest = 0;
		while (!this.steps.isEmpty() && this.steps.peek().at() <= (long) (until * SECOND)) {
			Step step = this.steps.poll();
			this.now = step.at();
			step.action().run();
			longest = (this.now >= (long) (from * SECOND)) ? Math.max(longest, this.freeAt - this.now) : 0;
		}
		this.now = (long) (until * SECOND);
		return longest / SECOND;
	}

	void apply(TransferEvent event) {
		this.machine.apply(event, this.now).forEach(this::carryOut);
	}

	int verified() {
		return this.machine.verified();
	}

	/**
	 * Returns how many pieces came more than once.
	 */
	int doubled() {
		return (int) this.came.values().stream().filter((times) -> times > 1).count();
	}

	private void tick() {
		apply(new TransferEvent.Tick());
		schedule(TICK, this::tick);
	}

	private void request() {
		enter(REQUEST_BYTES);
		schedule(REQUEST_EACH, this::request);
	}

	private void enter(int bytes) {
		this.freeAt = Math.max(this.now, this.freeAt) + (long) (bytes / this.rate * SECOND);
	}

	private void carryOut(TransferEffect effect) {
		if (effect instanceof TransferEffect.Request request) {
			schedule(LATENCY, () -> send(request, request.offset()));
		}
		else if (effect instanceof TransferEffect.Store store) {
			schedule(MILLI / 5, () -> apply(new TransferEvent.Stored(store.piece())));
		}
	}

	private void send(TransferEffect.Request request, int offset) {
		int whole = this.pieces.length(request.piece());
		int asked = (request.length() > 0) ? request.offset() + request.length() : whole;
		int length = Math.min((int) (this.uploadRate * PART_SECONDS), asked - offset);
		long sending = (long) (length / this.uploadRate * TURNS * SECOND);
		int end = offset + length;
		schedule(sending, () -> {
			boolean last = end == asked;
			enter(length);
			if (last) {
				schedule(this.freeAt - this.now + LATENCY, () -> arrive(request, asked));
				return;
			}
			send(request, end);
		});
	}

	private void arrive(TransferEffect.Request request, int end) {
		if (end < this.pieces.length(request.piece())) {
			apply(new TransferEvent.PartCame(request.piece(), request.vm(), end));
			return;
		}
		this.came.merge(request.piece(), 1, Integer::sum);
		apply(new TransferEvent.Verified(request.piece(), request.vm()));
	}

	private void schedule(long delay, Runnable action) {
		this.steps.add(new Step(this.now + delay, this.sequence++, action));
	}

	private record Step(long at, long number, Runnable action) {
	}

}
