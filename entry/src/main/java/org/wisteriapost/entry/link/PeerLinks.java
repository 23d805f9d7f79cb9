package org.wisteriapost.entry.link;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.wisteriapost.policy.membership.Member;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.link.LinkServer;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Role;

/**
 * Maintains one link to each target VM, reconnecting as needed, and accepts links from
 * other entries.
 */
public final class PeerLinks implements AutoCloseable {

	// Reconnects are jittered, so that all entries do not connect to a recovering rack at
	// the same time.
	private static final long RETRY_MIN_MILLIS = 100;

	private static final long RETRY_MAX_MILLIS = 400;

	private final Links links;

	private final ScheduledExecutorService timer;

	private final PeerListener listener;

	private final Map<String, Target> targets = new HashMap<>();

	private volatile boolean closed;

	private PeerLinks(Links links, ScheduledExecutorService timer, PeerListener listener) {
		this.links = links;
		this.timer = timer;
		this.listener = listener;
	}

	/**
	 * Creates an instance without links.
	 */
	public static PeerLinks create(Links links, ScheduledExecutorService timer, PeerListener listener) {
		return new PeerLinks(links, timer, listener);
	}

	/**
	 * Accepts links from other entries on an address.
	 */
	public LinkServer listen(InetSocketAddress address) {
		return this.links.listen(address, new Handler(PeerLink::incoming, () -> {
		}));
	}

	/**
	 * Replaces the target VMs: opens missing links and closes those to other VMs. A VM
	 * whose address has changed is reconnected.
	 */
	public synchronized void setTargets(List<Member> members) {
		Map<String, Member> wanted = members.stream()
			.collect(Collectors.toMap(Member::vm, Function.identity(), (first, second) -> first));
		this.targets.values().removeIf((target) -> {
			Member now = wanted.get(target.member.vm());
			boolean same = now != null && now.host().equals(target.member.host())
					&& now.linkPort() == target.member.linkPort();
			if (!same) {
				target.stop();
			}
			return !same;
		});
		for (Member member : wanted.values()) {
			if (!this.targets.containsKey(member.vm())) {
				Target target = new Target(member);
				this.targets.put(member.vm(), target);
				target.connect();
			}
		}
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		this.targets.values().forEach(Target::stop);
		this.targets.clear();
	}

	private final class Target {

		private final Member member;

		private volatile boolean stopped;

		private volatile Link link;

		private Target(Member member) {
			this.member = member;
		}

		private void connect() {
			if (this.stopped || PeerLinks.this.closed) {
				return;
			}
			Role role = this.member.entry() ? Role.ENTRY : Role.AGENT;
			Handler handler = new Handler((link) -> {
				this.link = link;
				return PeerLink.outgoing(link, this.member.vm(), role);
			}, this::scheduleReconnect);
			PeerLinks.this.links.connect(new InetSocketAddress(this.member.host(), this.member.linkPort()), handler)
				.whenComplete((done, failure) -> {
					if (failure != null) {
						scheduleReconnect();
					}
					else if (this.stopped) {
						stop();
					}
				});
		}

		private void scheduleReconnect() {
			if (!this.stopped && !PeerLinks.this.closed) {
				long millis = ThreadLocalRandom.current().nextLong(RETRY_MIN_MILLIS, RETRY_MAX_MILLIS);
				PeerLinks.this.timer.schedule(this::connect, millis, TimeUnit.MILLISECONDS);
			}
		}

		private void stop() {
			this.stopped = true;
			Link current = this.link;
			if (current != null) {
				current.close();
			}
		}

	}

	private final class Handler implements LinkHandler {

		private final Function<Link, PeerLink> peerFactory;

		private final Runnable onDisconnected;

		private final Map<Link, PeerLink> peers = new ConcurrentHashMap<>();

		private Handler(Function<Link, PeerLink> peerFactory, Runnable onDisconnected) {
			this.peerFactory = peerFactory;
			this.onDisconnected = onDisconnected;
		}

		@Override
		public void onOpen(Link link) {
			PeerLink peer = this.peerFactory.apply(link);
			this.peers.put(link, peer);
			PeerLinks.this.listener.onUp(peer);
		}

		@Override
		public void onFrame(Link link, Frame frame) {
			PeerLinks.this.listener.onFrame(this.peers.get(link), frame);
		}

		@Override
		public void onClosed(Link link) {
			PeerLink peer = this.peers.remove(link);
			if (peer != null) {
				PeerLinks.this.listener.onDown(peer);
				this.onDisconnected.run();
			}
		}

	}

}
