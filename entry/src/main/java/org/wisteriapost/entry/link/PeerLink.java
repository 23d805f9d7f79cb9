package org.wisteriapost.entry.link;

import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Hello;
import org.wisteriapost.protocol.wire.Role;

/**
 * A connection to an agent or another entry. Each reconnect creates a new instance, so
 * that late frames of a previous connection are not attributed to the current one.
 */
public final class PeerLink {

	private final Link link;

	private String vm;

	private Role role;

	private long requestedGeneration;

	private PeerLink(Link link, String vm, Role role) {
		this.link = link;
		this.vm = vm;
		this.role = role;
	}

	/**
	 * Returns an outgoing link to a known VM.
	 */
	public static PeerLink outgoing(Link link, String vm, Role role) {
		return new PeerLink(link, vm, role);
	}

	/**
	 * Returns an incoming link; the peer identifies itself by its Hello.
	 */
	public static PeerLink incoming(Link link) {
		return new PeerLink(link, "", Role.ROLE_UNSPECIFIED);
	}

	/**
	 * Returns the peer's VM; empty on an incoming link until its Hello is received.
	 */
	public String vm() {
		return this.vm;
	}

	public Role role() {
		return this.role;
	}

	/**
	 * Applies the peer's Hello; returns false if the peer is not the one that this link
	 * was opened to.
	 */
	public boolean acceptHello(Hello hello) {
		if (this.vm.isEmpty()) {
			this.vm = hello.getVm();
			this.role = hello.getRole();
			return true;
		}
		return this.vm.equals(hello.getVm()) && this.role == hello.getRole();
	}

	/**
	 * Returns whether the generation is higher than any before, so that a burst of frames
	 * requests a head only once.
	 */
	public boolean markRequested(long generation) {
		if (generation <= this.requestedGeneration) {
			return false;
		}
		this.requestedGeneration = generation;
		return true;
	}

	/**
	 * Queues a frame; returns false if the link is closed and no part of it was sent.
	 */
	public boolean send(Frame frame) {
		return this.link.send(frame);
	}

	public void close() {
		this.link.close();
	}

	@Override
	public String toString() {
		return this.vm + " at " + this.link.peer();
	}

}
