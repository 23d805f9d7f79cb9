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

	private static final int ASKERS = 12;

	private static final double SECOND = 1e9;

	private static final double DECLARED = 565_000;

	private static final double SQUEEZED = 44_000;

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

	// The link of a VM carries a tenth of what it is declared to, and a dozen peers fetch
	// from there. What its engine answers waits behind parts of weights, callers hear
	// nothing for seconds, and entries take its silence for its end.
	@Test
	void answersOfTheEngineWaitLittleBehindUploads() throws Exception {
		ChunkServer server = server();
		this.thread.run(() -> server.rate(DECLARED));
		for (int i = 0; i < ASKERS; i++) {
			new Asker(server).next(0);
		}
		this.timer.scheduleWithFixedDelay(() -> this.uplink.enter(EVENT_BYTES), 0, 100, TimeUnit.MILLISECONDS);
		TimeUnit.MILLISECONDS.sleep(3500);
		this.uplink.forget();
		TimeUnit.MILLISECONDS.sleep(2500);
		assertThat("seconds", this.uplink.longest(), Matchers.lessThan(0.7));
		assertThat("bytes of weights", this.uplink.delivered(), Matchers.greaterThan((long) (0.1 * 2.5 * SQUEEZED)));
	}

	private ChunkServer server() {
		MemoryStore store = new MemoryStore();
		store.fill(this.file, new byte[CHUNKS * CHUNK]);
		ChunkShelf shelf = new ChunkShelf();
		shelf.know(this.file.digest(), this.file);
		IntStream.range(0, CHUNKS).forEach((index) -> shelf.add(this.file.digest(), index));
		TransferContext context = new TransferContext(Settings.parse("test", ""), "vm", "place", this.links,
				Hello::getDefaultInstance, Frame::newBuilder, (link, frame) -> {
				}, new ContentOrigin(), store, this.timer, new SimpleMeterRegistry());
		return new ChunkServer(context, this.thread, TransferMeters.in(context.meters()), shelf, 24);
	}

	private static WeightFile file() {
		String hash = Digests.sha256(new byte[CHUNK]);
		String[] hashes = new String[CHUNKS];
		Arrays.fill(hashes, hash);
		return new WeightFile("model", "1", "model", "etag", (long) CHUNKS * CHUNK, CHUNK, List.of(hashes));
	}

	/** What leaves the VM, in the order in which it was sent. */
	private final class Uplink {

		private long freeAt = System.nanoTime();

		private long longest;

		private long delivered;

		synchronized long enter(int bytes) {
			long now = System.nanoTime();
			this.freeAt = Math.max(now, this.freeAt) + (long) (bytes / SQUEEZED * SECOND);
			this.longest = Math.max(this.longest, this.freeAt - now);
			return this.freeAt - now;
		}

		synchronized void deliver(int bytes) {
			this.delivered += bytes;
		}

		synchronized void forget() {
			this.longest = 0;
			this.delivered = 0;
		}

		synchronized double longest() {
			return this.longest / SECOND;
		}

		synchronized long delivered() {
			return this.delivered;
		}

	}

	/** A peer that asks for the next part as soon as one has come. */
	private final class Asker implements Link {

		private final ChunkServer server;

		private int index;

		private Asker(ChunkServer server) {
			this.server = server;
		}

		private void next(int offset) {
			ChunkRequest request = ChunkRequest.newBuilder()
				.setId(offset)
				.setFile(ChunkServerTests.this.file.digest())
				.setIndex(this.index)
				.setOffset(offset)
				.setLength(Math.min(6780, CHUNK - offset))
				.build();
			ChunkServerTests.this.thread.run(() -> this.server.request(this, request));
		}

		@Override
		public boolean send(Frame frame) {
			ChunkReply reply = frame.getChunkReply();
			int bytes = reply.getData().size();
			long wait = ChunkServerTests.this.uplink.enter(bytes);
			ChunkServerTests.this.timer.schedule(() -> came(reply), wait, TimeUnit.NANOSECONDS);
			return true;
		}

		private void came(ChunkReply reply) {
			if (reply.getStatus() != ChunkStatus.CHUNK_OK) {
				ChunkServerTests.this.timer.schedule(() -> next((int) reply.getId()), 100, TimeUnit.MILLISECONDS);
				return;
			}
			ChunkServerTests.this.uplink.deliver(reply.getData().size());
			int end = reply.getOffset() + reply.getData().size();
			int asked = (int) reply.getId() + Math.min(6780, CHUNK - (int) reply.getId());
			if (end < asked) {
				return;
			}
			if (end == CHUNK) {
				this.index = (this.index + 1) % CHUNKS;
			}
			next((end == CHUNK) ? 0 : end);
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
			// Nothing is open.
		}

	}

}
