package org.wisteriapost.entry.direct;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.link.LinkServer;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Hello;
import org.wisteriapost.protocol.wire.Role;

/**
 * Links from this entry to other entries and to agents, which are reconnected when they
 * break. Also receives the frames on links that other entries opened.
 */
final class PeerLinkManager implements AutoCloseable, PeerTransport {

	private static final Logger LOG = System.getLogger(PeerLinkManager.class.getName());

	private static final long MIN_RECONNECT_DELAY_MILLIS = 250;

	private static final long MAX_RECONNECT_DELAY_MILLIS = 4000;

	private final Links links;

	private final ScheduledExecutorService timer;

	private final Consumer<DirectEvent> events;

	private final Frame hello;

	private final DecisionLog log;

	private final Map<String, OutgoingLink> outgoing = new ConcurrentHashMap<>();

	// Links opened by other entries, by their names.
	private final Map<String, Link> incoming = new ConcurrentHashMap<>();

	private LinkServer server;

	private PeerLinkManager(Links links, ScheduledExecutorService timer, Consumer<DirectEvent> events, Frame hello,
			DecisionLog log) {
		this.links = links;
		this.timer = timer;
		this.events = events;
		this.hello = hello;
		this.log = log;
	}

	static PeerLinkManager start(Links links, InetSocketAddress address, String name, String failureDomain,
			ScheduledExecutorService timer, Consumer<DirectEvent> events, DecisionLog log) {
		Hello hello = Hello.newBuilder().setVm(name).setPlace(failureDomain).setRole(Role.ENTRY).build();
		PeerLinkManager peerLinks = new PeerLinkManager(links, timer, events,
				Frame.newBuilder().setHello(hello).build(), log);
		peerLinks.server = links.listen(address, peerLinks.new IncomingLinks());
		return peerLinks;
	}

	int port() {
		return this.server.port();
	}

	@Override
	public void setDesiredPeers(Map<String, InetSocketAddress> peers) {
		this.outgoing.forEach((name, link) -> {
			if (!link.address.equals(peers.get(name))) {
				this.outgoing.remove(name);
				link.abandon();
			}
		});
		peers.forEach((name, address) -> {
			if (!this.outgoing.containsKey(name)) {
				OutgoingLink link = new OutgoingLink(name, address);
				this.outgoing.put(name, link);
				link.connect();
			}
		});
	}

	// Sends on the link that this entry opened, if there is one, else on the link that
	// the peer opened.
	@Override
	public SendResult send(String name, Frame frame) {
		Optional<Link> link = linkTo(name);
		if (link.isEmpty()) {
			return SendResult.NO_LINK;
		}
		if (!link.get().writable()) {
			this.log.failure("frame-left-out", "peer", name, "kind", frame.getBodyCase(), "bytes",
					frame.getSerializedSize());
			return SendResult.LINK_FULL;
		}
		return link.get().send(frame) ? SendResult.SENT : SendResult.NO_LINK;
	}

	private Optional<Link> linkTo(String name) {
		OutgoingLink opened = this.outgoing.get(name);
		Link own = (opened != null) ? opened.link : null;
		return Optional.ofNullable((own != null) ? own : this.incoming.get(name));
	}

	@Override
	public Set<String> linkedEntries() {
		Set<String> names = new HashSet<>(this.incoming.keySet());
		this.outgoing.forEach((name, link) -> {
			if (link.isUp() && link.isEntry) {
				names.add(name);
			}
		});
		return names;
	}

	@Override
	public void close() {
		this.outgoing.values().forEach(OutgoingLink::abandon);
		this.server.close();
	}

	private void dispatchFrame(Optional<String> peer, Frame frame) {
		PeerFrames.event(peer, frame).ifPresent(this.events);
	}

	/** Handles links that other processes opened. */
	private final class IncomingLinks implements LinkHandler {

		private final Map<Link, String> names = new ConcurrentHashMap<>();

		@Override
		public void onOpen(Link link) {
			link.send(PeerLinkManager.this.hello);
		}

		@Override
		public void onFrame(Link link, Frame frame) {
			if (frame.getBodyCase() == Frame.BodyCase.HELLO) {
				this.names.put(link, frame.getHello().getVm());
				if (frame.getHello().getRole() == Role.ENTRY) {
					PeerLinkManager.this.incoming.put(frame.getHello().getVm(), link);
					PeerLinkManager.this.events.accept(new DirectEvent.PeerIdentified(frame.getHello().getVm()));
				}
				return;
			}
			dispatchFrame(Optional.ofNullable(this.names.get(link)), frame);
		}

		@Override
		public void onClosed(Link link) {
			String name = this.names.remove(link);
			if (name != null) {
				PeerLinkManager.this.incoming.remove(name, link);
			}
		}

	}

	/** A link that this entry opens, and reopens when it breaks. */
	private final class OutgoingLink implements LinkHandler {

		private final String name;

		private final InetSocketAddress address;

		private volatile Link link;

		private volatile boolean abandoned;

		private volatile boolean isEntry;

		private long reconnectDelayMillis = MIN_RECONNECT_DELAY_MILLIS;

		private OutgoingLink(String name, InetSocketAddress address) {
			this.name = name;
			this.address = address;
		}

		private void connect() {
			if (this.abandoned) {
				return;
			}
			PeerLinkManager.this.links.connect(this.address, this).exceptionally((failure) -> {
				scheduleReconnect();
				return null;
			});
		}

		private void scheduleReconnect() {
			if (this.abandoned) {
				return;
			}
			PeerLinkManager.this.timer.schedule(this::connect, this.reconnectDelayMillis, TimeUnit.MILLISECONDS);
			this.reconnectDelayMillis = Math.min(MAX_RECONNECT_DELAY_MILLIS, this.reconnectDelayMillis * 2);
		}

		private boolean isUp() {
			return this.link != null;
		}

		private void abandon() {
			this.abandoned = true;
			Link open = this.link;
			if (open != null) {
				open.close();
			}
		}

		@Override
		public void onOpen(Link opened) {
			this.link = opened;
			this.reconnectDelayMillis = MIN_RECONNECT_DELAY_MILLIS;
			opened.send(PeerLinkManager.this.hello);
			LOG.log(Level.INFO, "link-up: " + this.name);
			PeerLinkManager.this.events.accept(new DirectEvent.PeerLinkChanged(this.name, true));
		}

		@Override
		public void onFrame(Link from, Frame frame) {
			if (frame.getBodyCase() == Frame.BodyCase.HELLO && frame.getHello().getRole() == Role.ENTRY) {
				this.isEntry = true;
				PeerLinkManager.this.events.accept(new DirectEvent.PeerIdentified(this.name));
			}
			if (frame.getBodyCase() == Frame.BodyCase.ECHO) {
				PeerLinkManager.this.events.accept(new DirectEvent.EchoReceived(this.name, frame.getEcho().getStamp()));
				return;
			}
			dispatchFrame(Optional.of(this.name), frame);
		}

		@Override
		public void onClosed(Link closed) {
			this.link = null;
			LOG.log(Level.INFO, "link-lost: " + this.name);
			PeerLinkManager.this.events.accept(new DirectEvent.PeerLinkChanged(this.name, false));
			scheduleReconnect();
		}

	}

}
