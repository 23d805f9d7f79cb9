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
import org.wisteriapost.protocol.http.PooledHttpClient;
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
 * A running agent: its links, timer and event loop, and the {@link RolloutExecutor} that
 * runs on the loop.
 */
public final class SiteAgent implements AutoCloseable {

	private static final int QUEUE_CAPACITY = 1024;

	// Guards against a deadline that stays due after its tick, which would make the agent
	// spin and take a core from the engine. No step of a rollout needs shorter ticks.
	private static final long MIN_TICK_INTERVAL_MILLIS = 10;

	private final PooledHttpClient caller;

	private final Links links;

	private final ScheduledThreadPoolExecutor timer;

	private final EventLoop<Runnable> loop;

	private final RolloutExecutor rolloutExecutor;

	private final DecisionLog log;

	private LinkServer server;

	// Confined to the loop's thread.
	private Optional<ScheduledFuture<?>> nextTick = Optional.empty();

	private long nextTickNanos;

	private SiteAgent(SiteSettings settings, SiteProvider site, PrintStream out) {
		this.log = DecisionLog.start(settings.name(), out);
		this.caller = PooledHttpClient.create(1);
		this.links = Links.plain(1);
		this.timer = new ScheduledThreadPoolExecutor(1, Thread.ofPlatform().daemon().factory());
		this.timer.setRemoveOnCancelPolicy(true);
		this.loop = EventLoop.start("agent", QUEUE_CAPACITY, Runnable::run);
		this.rolloutExecutor = new RolloutExecutor(settings, site, this.caller, this.links, this.timer, this::execute,
				this.log);
	}

	/**
	 * Starts an agent.
	 * @param out receives the log of decisions
	 */
	public static SiteAgent start(SiteSettings settings, SiteProvider site, PrintStream out) {
		SiteAgent agent = new SiteAgent(settings, site, out);
		agent.server = agent.links.listen(new InetSocketAddress(settings.host(), settings.linkPort()),
				agent.new IncomingLinks());
		agent.execute(agent.rolloutExecutor::tick);
		agent.log.decision("started", "role", "agent", "engine", settings.runner().orElse("none"));
		return agent;
	}

	/**
	 * Runs a task on the loop's thread and then reschedules the next tick if it is due
	 * earlier.
	 */
	private void execute(Runnable task) {
		this.loop.put(() -> runAndScheduleTick(task));
	}

	private void runAndScheduleTick(Runnable task) {
		try {
			task.run();
		}
		finally {
			scheduleTick();
		}
	}

	// Replaces the scheduled tick only if it is too late, since a tick that runs too
	// early schedules the next one.
	private void scheduleTick() {
		long now = System.nanoTime();
		long next = this.rolloutExecutor.nextTickNanos(now);
		boolean scheduledInTime = this.nextTick.isPresent() && this.nextTickNanos - next <= 0;
		if (scheduledInTime || this.timer.isShutdown()) {
			return;
		}
		this.nextTick.ifPresent((scheduled) -> scheduled.cancel(false));
		this.nextTickNanos = next;
		long millis = TimeUnit.NANOSECONDS.toMillis(next - now) + 1;
		this.nextTick = Optional
			.of(this.timer.schedule(this::tickDue, Math.max(millis, MIN_TICK_INTERVAL_MILLIS), TimeUnit.MILLISECONDS));
	}

	private void tickDue() {
		boolean queued = this.loop.offer(() -> {
			this.nextTick = Optional.empty();
			runAndScheduleTick(this.rolloutExecutor::tick);
		});
		if (!queued && !this.timer.isShutdown()) {
			this.timer.schedule(this::tickDue, MIN_TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Logs an event of the process.
	 */
	public void logEvent(String event) {
		this.log.decision(event);
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.server.close();
		this.loop.close();
		this.rolloutExecutor.close();
		this.links.close();
		this.caller.close();
		this.log.close();
	}

	/** Links that entries and other agents have opened to this agent. */
	private final class IncomingLinks implements LinkHandler {

		private final Set<Link> openLinks = ConcurrentHashMap.newKeySet();

		@Override
		public void onOpen(Link link) {
			this.openLinks.add(link);
		}

		@Override
		public void onFrame(Link link, Frame frame) {
			if (frame.getBodyCase() == Frame.BodyCase.ECHO_REQUEST) {
				link.send(echo(frame.getEchoRequest()));
				return;
			}
			SiteAgent.this.execute(() -> SiteAgent.this.rolloutExecutor.onFrame(link, frame));
		}

		private static Frame echo(EchoRequest request) {
			return Frame.newBuilder().setEcho(Echo.newBuilder().setStamp(request.getStamp())).build();
		}

		@Override
		public void onClosed(Link link) {
			this.openLinks.remove(link);
			SiteAgent.this.execute(() -> SiteAgent.this.rolloutExecutor.onClosed(link));
		}

	}

}
