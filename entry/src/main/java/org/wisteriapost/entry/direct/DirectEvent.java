package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.wisteriapost.policy.dispatch.DispatchOutcome;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.protocol.http.ConnectionUse;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.EngineState;
import org.wisteriapost.protocol.wire.LoadReport;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;
import org.wisteriapost.protocol.wire.PlaceState;
import org.wisteriapost.protocol.wire.SuspectReport;

/**
 * An event for the entry's state thread.
 */
sealed interface DirectEvent {

	/**
	 * A request was received completely.
	 *
	 * @param request the request
	 */
	record RequestArrived(IncomingRequest request) implements DirectEvent {
	}

	/**
	 * The caller closed the connection before its request was answered.
	 *
	 * @param id the request's id
	 */
	record CallerDisconnected(long id) implements DirectEvent {
	}

	/**
	 * A connection to the runner was established.
	 *
	 * @param call the request
	 * @param dispatch the number of the dispatch that uses the connection
	 */
	record RunnerConnected(DirectCall call, int dispatch) implements DirectEvent {
	}

	/**
	 * The first event of a stream was forwarded to the caller.
	 *
	 * @param call the request
	 * @param dispatch the number of the dispatch that produced it
	 */
	record FirstEventForwarded(DirectCall call, int dispatch) implements DirectEvent {
	}

	/**
	 * A dispatch has ended.
	 *
	 * @param call the request
	 * @param dispatch the number of the dispatch
	 * @param outcome the result
	 * @param detail for the log
	 * @param connection the connection that the request was sent on, if it was
	 */
	record DispatchEnded(DirectCall call, int dispatch, DispatchOutcome outcome, String detail,
			Optional<ConnectionUse> connection) implements DirectEvent {

		/**
		 * Returns the end of a dispatch that was not sent.
		 */
		static DispatchEnded withoutConnection(DirectCall call, int dispatch, DispatchOutcome outcome, String detail) {
			return new DispatchEnded(call, dispatch, outcome, detail, Optional.empty());
		}

	}

	/**
	 * A dispatch was cancelled because another one of the request has continued the
	 * answer.
	 *
	 * @param call the request
	 * @param dispatch the number of the dispatch
	 * @param by the number of the other one
	 */
	record DispatchSuperseded(DirectCall call, int dispatch, int by) implements DirectEvent {
	}

	/**
	 * The store's epoch was read for the first time or has risen. Later reads of the kind
	 * belong to it.
	 *
	 * @param kind the kind of objects that were requested
	 * @param epoch the epoch
	 */
	record StoreEpochRead(ObjectKind kind, long epoch) implements DirectEvent {
	}

	/**
	 * All objects of a kind were listed.
	 *
	 * @param kind the kind
	 * @param items the complete listing
	 * @param revision the store's revision when the listing began
	 */
	record ObjectsListed(ObjectKind kind, List<ObjectStore.Item> items, long revision) implements DirectEvent {
	}

	/**
	 * An object of the store has changed.
	 *
	 * @param kind the kind of the object
	 * @param change the change
	 */
	record ObjectChanged(ObjectKind kind, ObjectStore.Change change) implements DirectEvent {
	}

	/**
	 * The store became reachable or unreachable.
	 *
	 * @param kind the kind of objects that were requested
	 * @param reachable whether the store answers
	 */
	record StoreReachability(ObjectKind kind, boolean reachable) implements DirectEvent {
	}

	/**
	 * Everything that the store held of a kind at a certain time was delivered.
	 *
	 * @param kind the kind
	 * @param asOfNanos the confirmed time, on this process's {@link System#nanoTime}
	 */
	record StoreConfirmed(ObjectKind kind, long asOfNanos) implements DirectEvent {
	}

	/**
	 * A watch of the store was lost and has not been re-established, so the local view
	 * may be stale.
	 */
	record StoreWatchLost() implements DirectEvent {
	}

	/**
	 * The link to another entry or an agent was established or closed.
	 *
	 * @param peer the peer's name
	 * @param up whether the link is established
	 */
	record PeerLinkChanged(String peer, boolean up) implements DirectEvent {
	}

	/**
	 * Another entry announced that it is leaving.
	 *
	 * @param peer the peer's name
	 */
	record PeerLeaving(String peer) implements DirectEvent {
	}

	/**
	 * Another entry identified itself on a link; frames can be sent to it from now on.
	 *
	 * @param peer the peer's name
	 */
	record PeerIdentified(String peer) implements DirectEvent {
	}

	/**
	 * Another entry has stated the version of the route table that it has in force.
	 *
	 * @param peer the name of the other entry
	 * @param version the version
	 */
	record PeerTableStated(String peer, long version) implements DirectEvent {
	}

	/**
	 * Another entry reported its in-flight load.
	 *
	 * @param peer the peer's name
	 * @param report the changes since its last report
	 */
	record PeerLoadReported(String peer, LoadReport report) implements DirectEvent {
	}

	/**
	 * The head of a runner's response has named a limit on its rate, or none.
	 *
	 * @param call the request
	 * @param dispatch the number of the dispatch
	 * @param perSecond the requests a second that the runner takes; empty for no limit
	 */
	record RunnerRateStated(DirectCall call, int dispatch, OptionalDouble perSecond) implements DirectEvent {
	}

	/**
	 * A runner stated in an answer that it is leaving.
	 *
	 * @param runner the incarnation of the runner that answered
	 */
	record RunnerLeaving(RunnerInfo runner) implements DirectEvent {
	}

	/**
	 * A runner turned a request away and wants no others for a time.
	 *
	 * @param runner the incarnation of the runner that answered
	 * @param rest for how long it wants none from this entry
	 */
	record RunnerResting(RunnerInfo runner, Duration rest) implements DirectEvent {
	}

	/**
	 * A runner stated in a response that it is cold.
	 *
	 * @param runner the incarnation of the runner that answered
	 * @param remaining for how much longer it is cold
	 */
	record RunnerCold(RunnerInfo runner, Duration remaining) implements DirectEvent {
	}

	/**
	 * A runner was checked after its connections had ended.
	 *
	 * @param runner the runner
	 * @param accepts whether it accepted a connection
	 */
	record RunnerChecked(RunnerInfo runner, boolean accepts) implements DirectEvent {
	}

	/**
	 * Another entry reported requests that were in progress at runners which it lost.
	 *
	 * @param peer the peer's name
	 * @param report the changes since its last report
	 */
	record SuspectsReported(String peer, SuspectReport report) implements DirectEvent {
	}

	/**
	 * Another entry reported the in-flight load and the engine status of its failure
	 * domain.
	 *
	 * @param peer the peer's name
	 * @param report the changes since its last report
	 */
	record FailureDomainReported(String peer, PlaceState report) implements DirectEvent {
	}

	/**
	 * Another entry forwarded state updates of the store.
	 *
	 * @param peer the peer's name
	 * @param update the updates
	 */
	record PeerStateUpdated(String peer, News update) implements DirectEvent {
	}

	/**
	 * Another entry subscribed to state updates from this one, or unsubscribed.
	 *
	 * @param peer the peer's name
	 * @param request the request
	 */
	record PeerSubscriptionChanged(String peer, NewsRequest request) implements DirectEvent {
	}

	/**
	 * An agent reported its engine's status.
	 *
	 * @param status the status
	 */
	record EngineStatusReported(EngineState status) implements DirectEvent {
	}

	/**
	 * An agent answered an echo request.
	 *
	 * @param address the address of the engine on the agent's VM
	 * @param stampNanos when the echo request was sent
	 */
	record EchoReceived(String address, long stampNanos) implements DirectEvent {
	}

	/** The state machine's timer fired. */
	record Tick() implements DirectEvent {
	}

	/** The process was asked to shut down. */
	record Leave() implements DirectEvent {
	}

}
