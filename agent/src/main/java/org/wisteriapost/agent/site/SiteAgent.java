package org.wisteriapost.agent.site;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.kernel.EventLoop;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.link.LinkServer;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.site.SiteProvider;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.wire.Echo;
import org.wisteriapost.protocol.wire.EchoRequest;
import org.wisteriapost.protocol.wire.Frame;

/**
 * The parts of one running agent.
 */
public final class SiteAgent implements AutoCloseable {

	private static final int RING = 1024;

	// Failure: a moment that is due stays due. Symptom: the agent spins and takes the
	// engine's core. A tick each so many milliseconds is little work, and no step of a
	// rollout needs a finer one.
	private static final long LEAST_TICK_MILLIS = 10;

	private final HttpCaller caller;

	private final Links links;

	private final ScheduledThreadPoolExecutor timer;

	private final EventLoop<Runnable> loop;

	private final EngineKeeper keeper;

	private final DecisionLog log;

	private LinkServer server;

	// Of the loop's thread.
	private Optional<ScheduledFuture<?>> ticking = Optional.empty();

	private long tickNanos;

	private SiteAgent(SiteSettings settings, SiteProvider site, PrintStream out) {
		this.log = DecisionLog.start(settings.name(), out);
		this.caller = HttpCaller.create(1);
		this.links = Links.plain(1);
		this.timer = new ScheduledThreadPoolExecutor(1, Thread.ofPlatform().daemon().factory());
		this.timer.setRemoveOnCancelPolicy(true);
		this.loop = EventLoop.start("agent", RING, Runnable::run);
		this.keeper = new EngineKeeper(settings, site, this.caller, this.links, this.timer, this::run, this.log);
	}

	/**
	 * Returns a running agent.
	 * @param out where decisions are logged
	 */
	public static SiteAgent start(SiteSettings settings, SiteProvider site, PrintStream out) {
		SiteAgent agent = new SiteAgent(settings, site, out);
		agent.server = agent.links.listen(new InetSocketAddress(settings.host(), settings.linkPort()),
				agent.new Incoming());
		agent.run(agent.keeper::tick);
		agent.log.decision("started", "role", "agent", "engine", settings.runner().orElse("none"));
		return agent;
	}

	/**
	 * Runs a task on the loop's thread; what it changed may bring the next tick forward.
	 */
	private void run(Runnable task) {
		this.loop.put(() -> look(task));
	}

	private void look(Runnable task) {
		try {
			task.run();
		}
		finally {
			plan();
		}
	}

	// A tick that comes too early plans the next one, so only a later one is replaced.
	private void plan() {
		long now = System.nanoTime();
		long next = this.keeper.nextNanos(now);
		boolean early = this.ticking.isPresent() && this.tickNanos - next <= 0;
		if (early || this.timer.isShutdown()) {
			return;
		}
		this.ticking.ifPresent((later) -> later.cancel(false));
		this.tickNanos = next;
		long millis = TimeUnit.NANOSECONDS.toMillis(next - now) + 1;
		this.ticking = Optional
			.of(this.timer.schedule(this::due, Math.max(millis, LEAST_TICK_MILLIS), TimeUnit.MILLISECONDS));
	}

	private void due() {
		boolean taken = this.loop.offer(() -> {
			this.ticking = Optional.empty();
			look(this.keeper::tick);
		});
		if (!taken && !this.timer.isShutdown()) {
			this.timer.schedule(this::due, LEAST_TICK_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Notes an event of the process.
	 */
	public void note(String event) {
		this.log.decision(event);
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.server.close();
		this.loop.close();
		this.keeper.close();
		this.links.close();
		this.caller.close();
		this.log.close();
	}

	/** Links that entries and other agents made. */
	private final class Incoming implements LinkHandler {

		private final Set<Link> open = ConcurrentHashMap.newKeySet();

		@Override
		public void onOpen(Link link) {
			this.open.add(link);
		}

		@Override
		public void onFrame(Link link, Frame frame) {
			if (frame.getBodyCase() == Frame.BodyCase.ECHO_REQUEST) {
				link.send(echo(frame.getEchoRequest()));
				return;
			}
			SiteAgent.this.run(() -> SiteAgent.this.keeper.heard(link, frame));
		}

		private static Frame echo(EchoRequest request) {
			return Frame.newBuilder().setEcho(Echo.newBuilder().setStamp(request.getStamp())).build();
		}

		@Override
		public void onClosed(Link link) {
			this.open.remove(link);
			SiteAgent.this.run(() -> SiteAgent.this.keeper.closed(link));
		}

	}

}
