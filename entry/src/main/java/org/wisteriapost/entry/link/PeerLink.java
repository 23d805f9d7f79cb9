package org.wisteriapost.entry.link;

import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Hello;
import org.wisteriapost.protocol.wire.Role;

/**
 * One connection to an agent or another entry. A connection that is made anew is another
 * one, so that nothing which arrives late over the old is taken for the new.
 */
public final class PeerLink {

	private final Link link;

	private String vm;

	private Role role;

	private long askedGeneration;

	private PeerLink(Link link, String vm, Role role) {
		this.link = link;
		this.vm = vm;
		this.role = role;
	}

	/**
	 * Returns a link that was made to a VM of the list.
	 */
	public static PeerLink to(Link link, String vm, Role role) {
		return new PeerLink(link, vm, role);
	}

	/**
	 * Returns a link that was taken; who it is, its Hello says.
	 */
	public static PeerLink from(Link link) {
		return new PeerLink(link, "", Role.ROLE_UNSPECIFIED);
	}

	/**
	 * Returns the other side's VM, empty before a Hello over a link that was taken.
	 */
	public String vm() {
		return this.vm;
	}

	public Role role() {
		return this.role;
	}

	/**
	 * Takes the other side's Hello; false when it is not the VM that this link was made
	 * to.
	 */
	public boolean hello(Hello hello) {
		if (this.vm.isEmpty()) {
			this.vm = hello.getVm();
			this.role = hello.getRole();
			return true;
		}
		return this.vm.equals(hello.getVm()) && this.role == hello.getRole();
	}

	/**
	 * Returns true once for each higher generation, so that a burst of frames asks for a
	 * head once.
	 */
	public boolean asksFor(long generation) {
		if (generation <= this.askedGeneration) {
			return false;
		}
		this.askedGeneration = generation;
		return true;
	}

	/**
	 * Queues a frame; false when the link is closed and nothing of it was sent.
	 */
	public boolean send(Frame frame) {
		return this.link.send(frame);
	}

	/**
	 * Closes the connection.
	 */
	public void close() {
		this.link.close();
	}

	@Override
	public String toString() {
		return this.vm + " at " + this.link.peer();
	}

}
