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
 * Everything that an entry's event loop learns.
 */
public sealed interface EntryEvent {

	/**
	 * A caller's request, read whole.
	 *
	 * @param call the request
	 */
	record CallArrived(CallerCall call) implements EntryEvent {
	}

	/**
	 * A caller has hung up.
	 *
	 * @param id its request
	 */
	record CallerLeft(long id) implements EntryEvent {
	}

	/**
	 * A link is up.
	 *
	 * @param peer the link
	 */
	record LinkUp(PeerLink peer) implements EntryEvent {
	}

	/**
	 * A frame has come.
	 *
	 * @param peer the link it came over
	 * @param frame the frame
	 */
	record FrameArrived(PeerLink peer, Frame frame) implements EntryEvent {
	}

	/**
	 * A link is gone.
	 *
	 * @param peer the link
	 */
	record LinkDown(PeerLink peer) implements EntryEvent {
	}

	/**
	 * The platform has said which head it holds.
	 *
	 * @param head the head, {@link Head#NONE} before the first roll
	 * @param asOfNanos when it held it, by the monotonic clock
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
	 * The platform has said which VMs are marked as leaving.
	 *
	 * @param vms their names
	 */
	record MarksRead(Set<String> vms) implements EntryEvent {
	}

	/**
	 * The VM list was read.
	 *
	 * @param members all VMs of it
	 */
	record VmsRead(List<Member> members) implements EntryEvent {
	}

	/**
	 * The platform has answered a read or write of a claim object.
	 *
	 * @param reply what it said
	 */
	record ClaimAnswered(ClaimReply reply) implements EntryEvent {
	}

	/** Time has passed. */
	record Tick() implements EntryEvent {
	}

	/** This process is to leave. */
	record DrainAsked() implements EntryEvent {
	}

}
