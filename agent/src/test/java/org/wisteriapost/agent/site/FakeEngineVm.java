package org.wisteriapost.agent.site;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.WeightStore;
import org.wisteriapost.protocol.site.CallProtocol;
import org.wisteriapost.protocol.site.EngineControl;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.site.SiteProvider;
import org.wisteriapost.protocol.site.SiteSettings;

/**
 * An engine with its staging memory, and the origin of its weights, in memory. The
 * staging memory has one copy of each chunk, whatever its version; an order takes what is
 * there when the engine accepts it.
 */
final class FakeEngineVm implements SiteProvider, EngineControl, WeightStore, Origin {

	static final int CHUNKS = 24;

	/** The chunk whose put can be held back. */
	static final int HELD_PUT_INDEX = 7;

	private static final int CHUNK_BYTES = 100;

	private static final long HELD_PUT_MILLIS = 500;

	private static final Code TIMED_OUT = Code.warning("test-timeout", "No answer in a test.");

	private static final long ORDER_TIMEOUT_MILLIS = 60;

	private final ScheduledExecutorService timer;

	private final Map<Integer, byte[]> staged = new ConcurrentHashMap<>();

	private final Map<String, CompletableFuture<Manifest>> heldManifests = new ConcurrentHashMap<>();

	private final Map<String, Integer> versionsByModel = new HashMap<>();

	private final List<TakenCopy> takenCopies = new ArrayList<>();

	private OrderFate nextOrderFate = OrderFate.ANSWERED;

	private long lateMillis;

	private volatile Runnable onOrder = () -> {
	};

	private OptionalDouble pace = OptionalDouble.empty();

	private int reports;

	private int active;

	private long sequence;

	private int spoiltOriginReads;

	private Runnable onSpoiltRead = () -> {
	};

	private IntConsumer onPut = (index) -> {
	};

	// The chunk whose put is held back, and until when.
	private byte[] heldChunk = new byte[0];

	private Runnable heldPut = () -> {
	};

	FakeEngineVm(ScheduledExecutorService timer) {
		this.timer = timer;
	}

	/**
	 * Sets what happens to the next order.
	 * @param delayMillis after which a late order is accepted
	 */
	synchronized void nextOrder(OrderFate fate, long delayMillis, Runnable whenSent) {
		this.nextOrderFate = fate;
		this.lateMillis = delayMillis;
		this.onOrder = whenSent;
	}

	/**
	 * Holds back the manifest of a version until the returned action is run.
	 */
	Runnable holdManifest(String model, int version) {
		CompletableFuture<Manifest> held = new CompletableFuture<>();
		this.heldManifests.put(model + "/" + version, held);
		return () -> held.complete(manifestOf(version));
	}

	/**
	 * Makes the next reads from the origin return wrong bytes.
	 * @param whenRead called at each of them
	 */
	synchronized void spoilOriginReads(int count, Runnable whenRead) {
		this.spoiltOriginReads = count;
		this.onSpoiltRead = whenRead;
	}

	/**
	 * Sets what is called with the index of each chunk that is to be put.
	 */
	synchronized void onPut(IntConsumer listener) {
		this.onPut = listener;
	}

	/**
	 * Corrupts a staged chunk if it is staged.
	 */
	void corruptStaged(int index) {
		this.staged.computeIfPresent(index, (key, bytes) -> new byte[CHUNK_BYTES]);
	}

	/**
	 * Holds back the put of {@link #HELD_PUT_INDEX} until another chunk is put in its
	 * place, or for half a second.
	 */
	synchronized void holdPut(int version) {
		this.heldChunk = chunk(version, HELD_PUT_INDEX);
	}

	/**
	 * Sets the pace that the engine reports from now on.
	 */
	synchronized void pace(OptionalDouble reported) {
		this.pace = reported;
	}

	/**
	 * Sets the number of requests in progress that the engine reports from now on.
	 */
	synchronized void active(int requests) {
		this.active = requests;
	}

	/**
	 * Returns how often the engine's report was read.
	 */
	synchronized int reports() {
		return this.reports;
	}

	synchronized List<TakenCopy> takenCopies() {
		return List.copyOf(this.takenCopies);
	}

	static byte[] chunk(int version, int index) {
		byte[] bytes = new byte[CHUNK_BYTES];
		new Random(version * 1000L + index).nextBytes(bytes);
		return bytes;
	}

	private static Manifest manifestOf(int version) {
		return new Manifest("etag-" + version, (long) CHUNKS * CHUNK_BYTES, CHUNK_BYTES,
				IntStream.range(0, CHUNKS).mapToObj((index) -> Digests.sha256(chunk(version, index))).toList());
	}

	// The engine.

	@Override
	public synchronized CompletableFuture<Report> report() {
		this.reports++;
		return CompletableFuture.completedFuture(new Report(Map.copyOf(this.versionsByModel), false, this.sequence, 0,
				this.active, RunnerIncarnation.UNKNOWN, this.pace));
	}

	@Override
	public synchronized CompletableFuture<Reply> switchTo(String model, int version, long expected) {
		OrderFate fate = this.nextOrderFate;
		this.nextOrderFate = OrderFate.ANSWERED;
		this.onOrder.run();
		this.onOrder = () -> {
		};
		return switch (fate) {
			case ANSWERED -> CompletableFuture.completedFuture(accept(model, version, expected));
			case ANSWER_LOST -> {
				accept(model, version, expected);
				yield timeout();
			}
			case LATE -> {
				this.timer.schedule(() -> accept(model, version, expected), this.lateMillis, TimeUnit.MILLISECONDS);
				yield timeout();
			}
			case LOST -> timeout();
		};
	}

	private CompletableFuture<Reply> timeout() {
		CompletableFuture<Reply> reply = new CompletableFuture<>();
		this.timer.schedule(() -> reply.completeExceptionally(CodedException.of(TIMED_OUT, "no answer")),
				ORDER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		return reply;
	}

	private synchronized Reply accept(String model, int version, long expected) {
		if (expected != this.sequence) {
			return Reply.CONFLICT;
		}
		this.sequence++;
		this.versionsByModel.put(model, version);
		this.takenCopies.add(new TakenCopy(version, Map.copyOf(this.staged)));
		return Reply.BEGUN;
	}

	// The staging memory.

	@Override
	public synchronized CompletableFuture<Void> put(String file, int index, byte[] chunk) {
		this.onPut.accept(index);
		if (Arrays.equals(chunk, this.heldChunk)) {
			CompletableFuture<Void> done = new CompletableFuture<>();
			this.heldPut = () -> {
				this.staged.put(index, chunk);
				done.complete(null);
			};
			this.timer.schedule(this::releasePut, HELD_PUT_MILLIS, TimeUnit.MILLISECONDS);
			return done;
		}
		this.staged.put(index, chunk);
		if (index == HELD_PUT_INDEX) {
			releasePut();
		}
		return CompletableFuture.completedFuture(null);
	}

	private synchronized void releasePut() {
		this.heldPut.run();
		this.heldPut = () -> {
		};
	}

	@Override
	public CompletableFuture<Optional<byte[]>> get(String file, int index) {
		return CompletableFuture.completedFuture(Optional.ofNullable(this.staged.get(index)));
	}

	@Override
	public CompletableFuture<BitSet> storedChunks(String file) {
		BitSet held = new BitSet();
		this.staged.keySet().forEach(held::set);
		return CompletableFuture.completedFuture(held);
	}

	@Override
	public CompletableFuture<Void> delete(String file) {
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public boolean isolatesFiles() {
		return false;
	}

	// The origin.

	@Override
	public synchronized CompletableFuture<byte[]> read(String path, String etag, long offset, int length) {
		if (this.spoiltOriginReads > 0) {
			this.spoiltOriginReads--;
			this.onSpoiltRead.run();
			return CompletableFuture.completedFuture(new byte[length]);
		}
		int version = Integer.parseInt(path.substring(path.indexOf('/') + 1));
		return CompletableFuture.completedFuture(chunk(version, (int) (offset / CHUNK_BYTES)));
	}

	@Override
	public CompletableFuture<Manifest> manifest(String path) {
		return Optional.ofNullable(this.heldManifests.get(path))
			.orElseGet(() -> CompletableFuture
				.completedFuture(manifestOf(Integer.parseInt(path.substring(path.indexOf('/') + 1)))));
	}

	@Override
	public void close() {
	}

	// The site.

	@Override
	public EngineControl engine(PooledHttpClient caller, String address) {
		return this;
	}

	@Override
	public WeightStore staging(PooledHttpClient caller, String address, String model) {
		return this;
	}

	@Override
	public Origin origin(PooledHttpClient caller, String address) {
		return this;
	}

	@Override
	public String settingsVariable() {
		throw new UnsupportedOperationException();
	}

	@Override
	public SiteSettings settings(Path file) {
		throw new UnsupportedOperationException();
	}

	@Override
	public ObjectStore store(PooledHttpClient caller, SiteSettings settings) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CallProtocol callProtocol() {
		throw new UnsupportedOperationException();
	}

	/** What happens to an order. */
	enum OrderFate {

		/** It is carried out and answered. */
		ANSWERED,
		/** It is carried out, but not answered. */
		ANSWER_LOST,
		/** It is not answered, and carried out later if its precondition still holds. */
		LATE,
		/** It is neither answered nor carried out. */
		LOST

	}

	/**
	 * What an engine took.
	 *
	 * @param version the version that it was ordered to take
	 * @param chunks the staged chunks at that time
	 */
	record TakenCopy(int version, Map<Integer, byte[]> chunks) {

		boolean isWhole() {
			return IntStream.range(0, CHUNKS)
				.allMatch((index) -> Arrays.equals(this.chunks.get(index), chunk(this.version, index)));
		}

	}

}
