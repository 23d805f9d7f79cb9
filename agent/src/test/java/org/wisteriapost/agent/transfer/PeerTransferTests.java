package org.wisteriapost.agent.transfer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.link.LinkServer;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.wire.ChunkReply;
import org.wisteriapost.protocol.wire.ChunkStatus;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Hello;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class PeerTransferTests {

	private static final int CHUNK = 1000;

	private static final int CHUNKS = 30;

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

	@Test
	void allVmsGetWeightsAndOriginIsReadOnce() throws Exception {
		this.origin.serve("model", this.content);
		for (int i = 0; i < 4; i++) {
			new Vm("vm-" + i, LONG_PROGRESS_DEADLINE);
		}
		fetchAll();
		for (Vm vm : this.vms) {
			assertThat(vm.store.content(this.model), is(this.content));
			assertThat(vm.transfer.progress(), is(new Progress(CHUNKS, CHUNKS)));
		}
		assertThat(this.origin.reads(), is(CHUNKS));
	}

	// One VM answers every request with wrong bytes. The others must drop them
	// before they are stored, and complete from the origin and each other.
	@Test
	void corruptChunksFromPeerAreNotStored() throws Exception {
		this.origin.serve("model", this.content);
		new Vm("good-1");
		new Vm("good-2");
		new Vm("corrupt").sendsWrongBytes = true;
		fetchAll();
		for (Vm vm : this.vms) {
			assertThat(vm.store.content(this.model), is(this.content));
		}
	}

	// The store outlives the agent, and one chunk was corrupted while the agent was not
	// running. Only that chunk is fetched again.
	@Test
	void restartedAgentReusesValidChunksInStore() throws Exception {
		this.origin.serve("model", this.content);
		Vm vm = new Vm("vm");
		vm.store.fill(this.model, this.content);
		vm.store.corrupt(this.model.digest(), 7);
		fetchAll();
		assertThat(vm.store.content(this.model), is(this.content));
		assertThat(this.origin.reads(), is(1));
	}

	@Test
	void unchangedChunksAreCopiedFromPreviousVersion() throws Exception {
		this.origin.serve("model", this.content);
		Vm vm = new Vm("vm");
		fetchAll();
		byte[] next = this.content.clone();
		next[5 * CHUNK] ^= 1;
		WeightFile second = file("model-2", next);
		this.origin.serve("model-2", next);
		int before = this.origin.reads();
		vm.transfer.fetch(List.of(second)).get(60, TimeUnit.SECONDS);
		assertThat(vm.store.content(second), is(next));
		assertThat(this.origin.reads() - before, is(1));
	}

	@Test
	void adapterIsFetchedWithoutRefetchingModel() throws Exception {
		byte[] small = Arrays.copyOf(content(2), 2 * CHUNK);
		this.origin.serve("model", this.content);
		this.origin.serve("adapter", small);
		Vm vm = new Vm("vm");
		fetchAll();
		int before = this.origin.reads();
		vm.transfer.fetch(List.of(this.model, file("adapter", small))).get(60, TimeUnit.SECONDS);
		assertThat(this.origin.reads() - before, is(2));
	}

	// Idle VMs must not keep links, which cost heartbeats, yet must still exchange chunks
	// of the next version, so that the origin is read once.
	@Test
	void linksCloseAfterFetchAndReopenForNextFetch() throws Exception {
		this.origin.serve("model", this.content);
		for (int i = 0; i < 3; i++) {
			new Vm("vm-" + i, LONG_PROGRESS_DEADLINE);
		}
		fetchAll();
		awaitNoLinks();
		int openedBefore = this.linksOpened.get();
		byte[] next = content(3);
		WeightFile second = file("model-2", next);
		this.origin.serve("model-2", next);
		for (var fetched : this.vms.stream().map((vm) -> vm.transfer.fetch(List.of(second))).toList()) {
			fetched.get(60, TimeUnit.SECONDS);
		}
		for (Vm vm : this.vms) {
			assertThat(vm.store.content(second), is(next));
		}
		assertThat(this.origin.reads(), is(2 * CHUNKS));
		assertThat(this.linksOpened.get(), is(greaterThan(openedBefore)));
		awaitNoLinks();
	}

	private void awaitNoLinks() throws InterruptedException {
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
		while (!this.openLinks.isEmpty()) {
			assertThat("links are still open", System.nanoTime() < until);
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	// A VM that starts to fetch before its first VM list must wait for the list; without
	// known peers it would read a second copy from the origin.
	@Test
	void fetchWaitsForFirstVmList() throws Exception {
		this.origin.serve("model", this.content);
		Vm early = new Vm("early", LONG_PROGRESS_DEADLINE);
		Vm second = new Vm("second");
		var waiting = early.transfer.fetch(List.of(this.model));
		second.transfer.setPeers(vmList());
		second.transfer.fetch(List.of(this.model)).get(60, TimeUnit.SECONDS);
		assertThat(early.transfer.progress().verified(), is(0L));
		early.transfer.setPeers(vmList());
		waiting.get(60, TimeUnit.SECONDS);
		assertThat(this.origin.reads(), is(CHUNKS));
	}

	@Test
	void changedVersionAtOriginFailsFetch() {
		this.origin.change();
		Vm vm = new Vm("vm");
		vm.transfer.setPeers(vmList());
		CompletionException failure = assertThrows(CompletionException.class,
				() -> vm.transfer.fetch(List.of(this.model)).orTimeout(60, TimeUnit.SECONDS).join());
		assertThat(((CodedException) failure.getCause()).code(), is(Origin.CHANGED));
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

		private volatile boolean sendsWrongBytes;

		private Vm(String name) {
			this(name, "");
		}

		private Vm(String name, String settings) {
			this.name = name;
			TransferContext context = new TransferContext(Settings.parse("test", settings), name, "place",
					PeerTransferTests.this.links, Hello::getDefaultInstance, Frame::newBuilder, (link, frame) -> {
					}, PeerTransferTests.this.origin, this.store, PeerTransferTests.this.timer,
					new SimpleMeterRegistry());
			TransferOptions options = TransferOptions.of(context.settings());
			this.transfer = PeerTransferProvider.create(context,
					new TransferOptions(options.limits(), options.linkShare(), 16, Duration.ofSeconds(60)));
			this.server = PeerTransferTests.this.links.listen(new InetSocketAddress("127.0.0.1", 0), this);
			PeerTransferTests.this.vms.add(this);
		}

		private VmList.Vm listEntry() {
			return new VmList.Vm(this.name, "place", "region", "agent", "service", "127.0.0.1", this.server.port(), 0,
					false);
		}

		@Override
		public void onOpen(Link link) {
			PeerTransferTests.this.openLinks.add(link);
			PeerTransferTests.this.linksOpened.incrementAndGet();
		}

		@Override
		public void onFrame(Link link, Frame frame) {
			if (this.sendsWrongBytes && frame.hasChunkRequest()) {
				ChunkReply.Builder wrongReply = ChunkReply.newBuilder()
					.setId(frame.getChunkRequest().getId())
					.setStatus(ChunkStatus.CHUNK_OK)
					.setData(ByteString.copyFrom(new byte[CHUNK]));
				link.send(Frame.newBuilder().setChunkReply(wrongReply).build());
				return;
			}
			this.transfer.onFrame(link, frame);
		}

		@Override
		public void onClosed(Link link) {
			PeerTransferTests.this.openLinks.remove(link);
			this.transfer.onClosed(link);
		}

		private void close() {
			this.transfer.close();
			this.server.close();
		}

	}

}
