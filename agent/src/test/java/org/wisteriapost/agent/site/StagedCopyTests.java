package org.wisteriapost.agent.site;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Roster;
import org.wisteriapost.protocol.wire.RosterMember;
import org.wisteriapost.protocol.wire.WeightsNamed;

import static org.hamcrest.MatcherAssert.assertThat;

class StagedCopyTests {

	private static final String MODEL = "m0";

	private static final String HOST = "127.0.0.1";

	private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private final Links links = Links.plain(1);

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	private final DecisionLog log = DecisionLog.start("agent", new PrintStream(OutputStream.nullOutputStream()));

	private final FakeEngineVm engine = new FakeEngineVm(this.timer);

	private RolloutExecutor agent;

	@BeforeEach
	void start() {
		SiteSettings settings = new SiteSettings("agent", HOST, "hall-a", "region", Optional.empty(), Optional.empty(),
				Optional.empty(), 0, 0, URI.create("http://127.0.0.1:1"), Optional.of("127.0.0.1:1"), "lm", 1 << 27,
				new SiteSettings.Guarantees(Duration.ofSeconds(8), Duration.ofSeconds(2), Duration.ofSeconds(8), 0.2,
						100, Duration.ofSeconds(10), Duration.ofSeconds(5)));
		this.agent = new RolloutExecutor(settings, this.engine, this.caller, this.links, this.timer, this.loop::execute,
				this.log);
		receive(Frame.newBuilder()
			.setRoster(Roster.newBuilder().addMembers(RosterMember.newBuilder().setVm(HOST).setPlace("hall-a"))));
		this.loop.scheduleWithFixedDelay(this.agent::tick, 0, 10, TimeUnit.MILLISECONDS);
	}

	@AfterEach
	void stop() {
		this.loop.shutdownNow();
		this.timer.shutdownNow();
		this.agent.close();
		this.links.close();
		this.caller.close();
		this.log.close();
	}

	// Guards against an engine that takes chunks of two versions: an order without an
	// answer is carried out while a newer version is already being staged.
	@ParameterizedTest
	@CsvSource({ "LATE,150", "LATE,400", "LATE,1500", "LOST,0", "ANSWER_LOST,0" })
	void stagedChunksStayWhileAnOrderMayBeAccepted(FakeEngineVm.OrderFate fate, long delayMillis) {
		this.engine.nextOrder(fate, delayMillis, () -> name(3));
		name(2);
		await(() -> taken(3));
		assertThat(mixedVersions(), Matchers.empty());
	}

	// Guards against staging and verifying an older version whose manifest arrives after
	// that of a newer one.
	@Test
	void lateManifestOfAnOlderVersionIsIgnored() {
		Runnable release = this.engine.holdManifest(MODEL, 2);
		this.engine.nextOrder(FakeEngineVm.OrderFate.LOST, 0, release);
		name(2);
		name(3);
		await(() -> taken(3));
		assertThat(mixedVersions(), Matchers.empty());
	}

	// Guards against ordering a chunk that was corrupted after a failed fetch of its
	// version had verified it.
	@Test
	void repeatedFetchReadsStagedChunksBack() {
		AtomicInteger reads = new AtomicInteger();
		this.engine.onPut((index) -> {
			if (reads.incrementAndGet() == FakeEngineVm.CHUNKS / 2) {
				this.engine.spoilOriginReads(FakeEngineVm.CHUNKS, () -> this.engine.corruptStaged(index));
			}
		});
		name(2);
		await(() -> taken(2));
		assertThat(mixedVersions(), Matchers.empty());
	}

	// Guards against a chunk of an abandoned fetch that is stored after the chunk of the
	// next version.
	@Test
	void putsOfAnAbandonedFetchEndBeforeTheNextFetch() {
		this.engine.holdPut(2);
		this.engine.onPut((index) -> {
			if (index == FakeEngineVm.HELD_PUT_INDEX) {
				name(3);
			}
		});
		name(2);
		await(() -> taken(3));
		assertThat(mixedVersions(), Matchers.empty());
	}

	private void name(int version) {
		receive(Frame.newBuilder()
			.setWeightsNamed(WeightsNamed.newBuilder().setModel(MODEL).setVersion(version).setOrigin("127.0.0.1:1")));
	}

	private void receive(Frame.Builder frame) {
		this.loop.execute(() -> this.agent.onFrame(null, frame.build()));
	}

	private boolean taken(int version) {
		return this.engine.takenCopies().stream().anyMatch((copy) -> copy.version() == version);
	}

	private List<Integer> mixedVersions() {
		return this.engine.takenCopies()
			.stream()
			.filter((copy) -> !copy.isWhole())
			.map(FakeEngineVm.TakenCopy::version)
			.toList();
	}

	private static void await(BooleanSupplier condition) {
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
		while (!condition.getAsBoolean()) {
			assertThat("not reached in 60 s", System.nanoTime() < until);
			try {
				TimeUnit.MILLISECONDS.sleep(10);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

}
