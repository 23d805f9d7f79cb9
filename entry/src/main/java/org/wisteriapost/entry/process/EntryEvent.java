package org.wisteriapost.entry.process;

import java.util.List;
import java.util.Set;

import org.wisteriapost.entry.caller.CallerCall;
import org.wisteriapost.entry.claim.ClaimReply;
import org.wisteriapost.entry.link.PeerLink;
import org.wisteriapost.entry.platform.BundleContent;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.membership.Member;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Events that an entry's event loop applies to its {@link EntryState}.
 */
public sealed interface EntryEvent {

	/**
	 * A caller's request was read completely.
	 *
	 * @param call the request
	 */
	record CallArrived(CallerCall call) implements EntryEvent {
	}

	/**
	 * A caller disconnected before its answer was complete.
	 *
	 * @param id the request's id
	 */
	record CallerDisconnected(long id) implements EntryEvent {
	}

	/**
	 * A link was established.
	 *
	 * @param peer the link
	 */
	record LinkUp(PeerLink peer) implements EntryEvent {
	}

	/**
	 * A frame was received.
	 *
	 * @param peer the link it was received over
	 * @param frame the frame
	 */
	record FrameArrived(PeerLink peer, Frame frame) implements EntryEvent {
	}

	/**
	 * A link was closed.
	 *
	 * @param peer the link
	 */
	record LinkDown(PeerLink peer) implements EntryEvent {
	}

	/**
	 * The head was read from the platform.
	 *
	 * @param head the head, {@link Head#NONE} before the first roll
	 * @param asOfNanos the time at which the platform held it, on the monotonic clock
	 */
	record HeadRead(Head head, long asOfNanos) implements EntryEvent {
	}

	/**
	 * A bundle was read from the platform.
	 *
	 * @param content the bundle
	 */
	record BundleRead(BundleContent content) implements EntryEvent {
	}

	/**
	 * The marks of leaving VMs were read from the platform.
	 *
	 * @param vms the names of the marked VMs
	 */
	record LeavingMarksRead(Set<String> vms) implements EntryEvent {
	}

	/**
	 * The VM list was read.
	 *
	 * @param members all VMs on the list
	 */
	record VmListRead(List<Member> members) implements EntryEvent {
	}

	/**
	 * The platform replied to a read or write of a claim object.
	 *
	 * @param reply the reply
	 */
	record ClaimReplied(ClaimReply reply) implements EntryEvent {
	}

	/** The timer fired. */
	record Tick() implements EntryEvent {
	}

	/** This entry is to be drained. */
	record DrainRequested() implements EntryEvent {
	}

}
