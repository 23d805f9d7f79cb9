package org.wisteriapost.agent.transfer;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.wire.ChunkReply;
import org.wisteriapost.protocol.wire.ChunkRequest;
import org.wisteriapost.protocol.wire.ChunkStatus;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Hello;

import static org.hamcrest.MatcherAssert.assertThat;

class ChunkServerTests {

	private static final int CHUNK = 32_768;

	private static final int CHUNKS = 8;

	private static final int PEERS = 12;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double CONFIGURED_BYTES_PER_SECOND = 565_000;

	private static final double ACTUAL_BYTES_PER_SECOND = 44_000;

	private static final int EVENT_BYTES = 1_500;

	private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);

	private final Links links = Links.plain(1);

	private final TransferThread thread = new TransferThread((file, index) -> {
	});

	private final WeightFile file = file();

	private final Uplink uplink = new Uplink();

	@AfterEach
	void stop() {
		this.timer.shutdownNow();
		this.thread.close();
		this.links.close();
	}

	// The VM's link has a tenth of its configured bandwidth and a dozen peers fetch
	// from it. Guards against responses of the engine queueing behind chunks for
	// seconds, after which entries would consider the engine unreachable.
	@Test
	void uploadsDelayEngineResponsesOnlyBriefly() throws Exception {
		ChunkServer server = server();
		this.thread.execute(() -> server.setRate(CONFIGURED_BYTES_PER_SECOND));
		for (int i = 0; i < PEERS; i++) {
			new FetchingPeer(server).requestPart(0);
		}
		this.timer.scheduleWithFixedDelay(() -> this.uplink.enqueue(EVENT_BYTES), 0, 100, TimeUnit.MILLISECONDS);
		TimeUnit.MILLISECONDS.sleep(3500);
		this.uplink.reset();
		TimeUnit.MILLISECONDS.sleep(2500);
		assertThat("seconds", this.uplink.maxDelay(), Matchers.lessThan(0.7));
		assertThat("bytes of weights", this.uplink.deliveredBytes(),
				Matchers.greaterThan((long) (0.1 * 2.5 * ACTUAL_BYTES_PER_SECOND)));
	}

	private ChunkServer server() {
		MemoryStore store = new MemoryStore();
		store.fill(this.file, new byte[CHUNKS * CHUNK]);
		VerifiedChunks verifiedChunks = new VerifiedChunks();
		verifiedChunks.addFile(this.file.digest(), this.file);
		IntStream.range(0, CHUNKS).forEach((index) -> verifiedChunks.add(this.file.digest(), index));
		TransferContext context = new TransferContext(Settings.parse("test", ""), "vm", "place", this.links,
				Hello::getDefaultInstance, Frame::newBuilder, (link, frame) -> {
				}, new ContentOrigin(), store, this.timer, new SimpleMeterRegistry());
		return new ChunkServer(context, this.thread, TransferMetrics.create(context.meterRegistry()), verifiedChunks,
				24);
	}

	private static WeightFile file() {
		String hash = Digests.sha256(new byte[CHUNK]);
		String[] hashes = new String[CHUNKS];
		Arrays.fill(hashes, hash);
		return new WeightFile("model", "1", "model", "etag", (long) CHUNKS * CHUNK, CHUNK, List.of(hashes));
	}

	/** The VM's outgoing link: a FIFO queue with a fixed bandwidth. */
	private final class Uplink {

		private long freeAt = System.nanoTime();

		private long maxDelay;

		private long deliveredBytes;

		synchronized long enqueue(int bytes) {
			long now = System.nanoTime();
			this.freeAt = Math.max(now, this.freeAt) + (long) (bytes / ACTUAL_BYTES_PER_SECOND * NANOS_PER_SECOND);
			this.maxDelay = Math.max(this.maxDelay, this.freeAt - now);
			return this.freeAt - now;
		}

		synchronized void deliver(int bytes) {
			this.deliveredBytes += bytes;
		}

		synchronized void reset() {
			this.maxDelay = 0;
			this.deliveredBytes = 0;
		}

		synchronized double maxDelay() {
			return this.maxDelay / NANOS_PER_SECOND;
		}

		synchronized long deliveredBytes() {
			return this.deliveredBytes;
		}

	}

	/** A peer that requests the next part as soon as it has received one. */
	private final class FetchingPeer implements Link {

		private final ChunkServer server;

		private int index;

		private FetchingPeer(ChunkServer server) {
			this.server = server;
		}

		private void requestPart(int offset) {
			ChunkRequest request = ChunkRequest.newBuilder()
				.setId(offset)
				.setFile(ChunkServerTests.this.file.digest())
				.setIndex(this.index)
				.setOffset(offset)
				.setLength(Math.min(6780, CHUNK - offset))
				.build();
			ChunkServerTests.this.thread.execute(() -> this.server.handleRequest(this, request));
		}

		@Override
		public boolean send(Frame frame) {
			ChunkReply reply = frame.getChunkReply();
			int bytes = reply.getData().size();
			long wait = ChunkServerTests.this.uplink.enqueue(bytes);
			ChunkServerTests.this.timer.schedule(() -> replyReceived(reply), wait, TimeUnit.NANOSECONDS);
			return true;
		}

		private void replyReceived(ChunkReply reply) {
			if (reply.getStatus() != ChunkStatus.CHUNK_OK) {
				ChunkServerTests.this.timer.schedule(() -> requestPart((int) reply.getId()), 100,
						TimeUnit.MILLISECONDS);
				return;
			}
			ChunkServerTests.this.uplink.deliver(reply.getData().size());
			int end = reply.getOffset() + reply.getData().size();
			int requestedEnd = (int) reply.getId() + Math.min(6780, CHUNK - (int) reply.getId());
			if (end < requestedEnd) {
				return;
			}
			if (end == CHUNK) {
				this.index = (this.index + 1) % CHUNKS;
			}
			requestPart((end == CHUNK) ? 0 : end);
		}

		@Override
		public boolean writable() {
			return true;
		}

		@Override
		public String peer() {
			return "peer";
		}

		@Override
		public void close() {
			// Nothing to close.
		}

	}

}
