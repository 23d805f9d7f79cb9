package org.wisteriapost.agent.transfer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.policy.transfer.LinkShare;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.link.LinkServer;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.wire.ChunkRequest;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Hello;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class OlderVersionPeerTests {

	private static final int CHUNK = 32_768;

	private static final int CHUNKS = 16;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private final Links links = Links.plain(2);

	private final ContentOrigin origin = new ContentOrigin();

	private final List<Vm> vms = new ArrayList<>();

	private final Set<Link> openLinks = ConcurrentHashMap.newKeySet();

	private final AtomicInteger linksOpened = new AtomicInteger();

	private final byte[] content = content(1);

	// Long enough that no chunk times out on a slow machine and is read twice.
	private static final String LONG_PROGRESS_DEADLINE = "[transfer]\nprogress-deadline = 30000\n";

	private final WeightFile model = file("model", this.content);

	@AfterEach
	void stop() {
		this.vms.forEach(Vm::close);
		this.links.close();
		this.timer.shutdownNow();
	}

	// A peer of the previous version ignores offset and length and sends the whole chunk.
	// Guards against requesting a chunk's parts from it, each of which costs a whole
	// chunk.
	@Test
	void peerOfOlderVersionSendsEachChunkOnce() throws Exception {
		this.origin.serve("model", this.content);
		Vm older = new Vm("older");
		older.ignoresParts = true;
		fetchAll();
		Vm newer = new Vm("newer");
		List<VmList.Vm> all = vmList();
		this.vms.forEach((vm) -> vm.transfer.setPeers(all));
		newer.transfer.fetch(List.of(this.model)).get(60, TimeUnit.SECONDS);
		assertThat(newer.store.content(this.model), is(this.content));
		assertThat("ratio of bytes sent by the older peer to the file size of " + this.content.length,
				older.chunkRequests.get() * (double) CHUNK / this.content.length, is(lessThan(1.3)));
	}

	private void fetchAll() throws Exception {
		List<VmList.Vm> all = vmList();
		this.vms.forEach((vm) -> vm.transfer.setPeers(all));
		for (var fetched : this.vms.stream().map((vm) -> vm.transfer.fetch(List.of(this.model))).toList()) {
			fetched.get(60, TimeUnit.SECONDS);
		}
	}

	private List<VmList.Vm> vmList() {
		return this.vms.stream().map(Vm::listEntry).toList();
	}

	private static byte[] content(long seed) {
		byte[] bytes = new byte[CHUNK * CHUNKS];
		new Random(seed).nextBytes(bytes);
		return bytes;
	}

	private static WeightFile file(String path, byte[] bytes) {
		List<String> hashes = IntStream.range(0, bytes.length / CHUNK)
			.mapToObj((index) -> Digests.sha256(Arrays.copyOfRange(bytes, index * CHUNK, (index + 1) * CHUNK)))
			.toList();
		return new WeightFile(path, "1", path, "etag", bytes.length, CHUNK, hashes);
	}

	private final class Vm implements LinkHandler {

		private final String name;

		private final MemoryStore store = new MemoryStore();

		private final Transfer transfer;

		private final LinkServer server;

		private volatile boolean ignoresParts;

		private final AtomicInteger chunkRequests = new AtomicInteger();

		private Vm(String name) {
			this(name, "");
		}

		private Vm(String name, String settings) {
			this.name = name;
			TransferContext context = new TransferContext(Settings.parse("test", settings), name, "place",
					OlderVersionPeerTests.this.links, Hello::getDefaultInstance, Frame::newBuilder, (link, frame) -> {
					}, OlderVersionPeerTests.this.origin, this.store, OlderVersionPeerTests.this.timer,
					new SimpleMeterRegistry());
			TransferOptions options = TransferOptions.of(context.settings());
			this.transfer = PeerTransferProvider.create(context, new TransferOptions(options.limits(),
					new LinkShare(665_000, 0.85, 0.85), 16, Duration.ofSeconds(60)));
			this.server = OlderVersionPeerTests.this.links.listen(new InetSocketAddress("127.0.0.1", 0), this);
			OlderVersionPeerTests.this.vms.add(this);
		}

		private VmList.Vm listEntry() {
			return new VmList.Vm(this.name, "place", "region", "agent", "service", "127.0.0.1", this.server.port(), 0,
					false);
		}

		@Override
		public void onOpen(Link link) {
			OlderVersionPeerTests.this.openLinks.add(link);
			OlderVersionPeerTests.this.linksOpened.incrementAndGet();
		}

		@Override
		public void onFrame(Link link, Frame frame) {
			if (frame.hasChunkRequest()) {
				this.chunkRequests.incrementAndGet();
			}
			if (this.ignoresParts && frame.hasChunkRequest()) {
				ChunkRequest wholeChunk = frame.getChunkRequest().toBuilder().clearOffset().clearLength().build();
				this.transfer.onFrame(link, frame.toBuilder().setChunkRequest(wholeChunk).build());
				return;
			}
			this.transfer.onFrame(link, frame);
		}

		@Override
		public void onClosed(Link link) {
			OlderVersionPeerTests.this.openLinks.remove(link);
			this.transfer.onClosed(link);
		}

		private void close() {
			this.transfer.close();
			this.server.close();
		}

	}

}
