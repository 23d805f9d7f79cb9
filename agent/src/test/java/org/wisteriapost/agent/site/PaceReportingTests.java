package org.wisteriapost.agent.site;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.wire.EngineState;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Hello;
import org.wisteriapost.protocol.wire.Role;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * An agent without a target version, one linked entry, and an engine that reports its
 * pace.
 */
class PaceReportingTests {

	private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();

	private final Links links = Links.plain(1);

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	private final DecisionLog log = DecisionLog.start("agent", new PrintStream(OutputStream.nullOutputStream()));

	private final FakeEngineVm engine = new FakeEngineVm(this.loop);

	private final RecordingLink entry = new RecordingLink();

	private RolloutExecutor agent;

	@BeforeEach
	void start() {
		SiteSettings settings = new SiteSettings("agent", "127.0.0.1", "hall-a", "region", Optional.empty(),
				Optional.empty(), Optional.empty(), 0, 0, URI.create("http://127.0.0.1:1"), Optional.of("127.0.0.1:1"),
				"lm", 1 << 27, new SiteSettings.Guarantees(Duration.ofSeconds(8), Duration.ofSeconds(2),
						Duration.ofSeconds(8), 0.2, 100, Duration.ofSeconds(10), Duration.ofSeconds(5)));
		this.agent = new RolloutExecutor(settings, this.engine, this.caller, this.links, this.loop, this.loop::execute,
				this.log);
		this.loop.execute(() -> this.agent.onFrame(this.entry,
				Frame.newBuilder().setHello(Hello.newBuilder().setVm("entry").setRole(Role.ENTRY)).build()));
		this.loop.scheduleWithFixedDelay(this.agent::tick, 0, 10, TimeUnit.MILLISECONDS);
	}

	@AfterEach
	void stop() {
		this.loop.shutdownNow();
		this.agent.close();
		this.links.close();
		this.caller.close();
		this.log.close();
	}

	// Guards against an agent that keeps what its engine reports to itself, and entries
	// that never learn of the end.
	@Test
	void paceAndReturnToNormalReachTheEntry() throws Exception {
		this.engine.pace(OptionalDouble.of(2.5));
		await(250);
		this.engine.pace(OptionalDouble.of(1));
		await(0);
	}

	// Guards against further reads and frames for a busy engine whose report has no pace:
	// the report is read once a second, as before.
	@Test
	void engineWithoutAPaceCostsNothing() throws Exception {
		this.engine.active(3);
		await(0);
		int before = this.engine.reports();
		TimeUnit.MILLISECONDS.sleep(900);
		assertThat(this.engine.reports() - before, Matchers.lessThanOrEqualTo(2));
		assertThat(this.entry.states, Matchers.hasSize(1));
	}

	private void await(int pacePercent) throws InterruptedException {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (this.entry.lastPace() != pacePercent && System.nanoTime() < deadline) {
			TimeUnit.MILLISECONDS.sleep(5);
		}
		assertThat(this.entry.lastPace(), Matchers.equalTo(pacePercent));
	}

	/** Keeps the states that are sent. */
	private static final class RecordingLink implements Link {

		private final List<EngineState> states = new CopyOnWriteArrayList<>();

		private int lastPace() {
			return this.states.isEmpty() ? -1 : this.states.getLast().getPacePercent();
		}

		@Override
		public boolean send(Frame frame) {
			return this.states.add(frame.getEngineState());
		}

		@Override
		public boolean writable() {
			return true;
		}

		@Override
		public String peer() {
			return "entry";
		}

		@Override
		public void close() {
		}

	}

}
