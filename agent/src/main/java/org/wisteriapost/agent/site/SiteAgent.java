package org.wisteriapost.agent.site;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
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
import org.wisteriapost.protocol.wire.Frame;

/**
 * The parts of one running agent.
 */
public final class SiteAgent implements AutoCloseable {

	private static final int RING = 1024;

	// An agent at rest is woken five times a second, which is most of what it costs then.
	private static final long TICK_MILLIS = 200;

	// While weights move an engine's turn comes at a moment that entries were told.
	private static final long BUSY_TICK_MILLIS = 40;

	private final HttpCaller caller;

	private final Links links;

	private final ScheduledThreadPoolExecutor timer;

	private final EventLoop<Runnable> loop;

	private final EngineKeeper keeper;

	private final DecisionLog log;

	private LinkServer server;

	private volatile boolean calm = true;

	private SiteAgent(HttpCaller caller, Links links, ScheduledThreadPoolExecutor timer, EventLoop<Runnable> loop,
			EngineKeeper keeper, DecisionLog log) {
		this.caller = caller;
		this.links = links;
		this.timer = timer;
		this.loop = loop;
		this.keeper = keeper;
		this.log = log;
	}

	/**
	 * Returns a running agent.
	 * @param out where decisions are logged
	 */
	public static SiteAgent start(SiteSettings settings, SiteProvider site, PrintStream out) {
		DecisionLog log = DecisionLog.start(settings.name(), out);
		HttpCaller caller = HttpCaller.create(1);
		Links links = Links.plain(1);
		ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, Thread.ofPlatform().daemon().factory());
		EventLoop<Runnable> loop = EventLoop.start("agent", RING, Runnable::run);
		EngineKeeper keeper = new EngineKeeper(settings, site, caller, links, timer, loop::put, log);
		SiteAgent agent = new SiteAgent(caller, links, timer, loop, keeper, log);
		agent.server = links.listen(new InetSocketAddress(settings.host(), settings.linkPort()), agent.new Incoming());
		timer.schedule(agent::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
		log.decision("started", "role", "agent", "engine", settings.runner().orElse("none"));
		return agent;
	}

	private void tick() {
		this.loop.offer(() -> {
			this.keeper.tick();
			this.calm = this.keeper.calm();
		});
		if (!this.timer.isShutdown()) {
			this.timer.schedule(this::tick, this.calm ? TICK_MILLIS : BUSY_TICK_MILLIS, TimeUnit.MILLISECONDS);
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
			SiteAgent.this.loop.put(() -> SiteAgent.this.keeper.heard(link, frame));
		}

		@Override
		public void onClosed(Link link) {
			this.open.remove(link);
			SiteAgent.this.loop.put(() -> SiteAgent.this.keeper.closed(link));
		}

	}

}
