package org.wisteriapost.entry.direct;

import java.util.List;

import org.wisteriapost.policy.dispatch.DispatchOutcome;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.EngineState;
import org.wisteriapost.protocol.wire.LoadReport;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;
import org.wisteriapost.protocol.wire.PlaceState;

/**
 * What the entry's one state thread hears.
 */
sealed interface DirectEvent {

	/**
	 * A request has arrived.
	 *
	 * @param arrival read whole
	 */
	record Arrived(Arrival arrival) implements DirectEvent {
	}

	/**
	 * The caller of a request has gone.
	 *
	 * @param id the request's number
	 */
	record CallerGone(long id) implements DirectEvent {
	}

	/**
	 * A connection to the runner was made for a request.
	 *
	 * @param call the request
	 * @param dispatch the dispatch that it was made for
	 */
	record Connected(DirectCall call, int dispatch) implements DirectEvent {
	}

	/**
	 * The first event of a stream went out to the caller.
	 *
	 * @param call the request
	 * @param dispatch the dispatch that it came from
	 */
	record FirstEvent(DirectCall call, int dispatch) implements DirectEvent {
	}

	/**
	 * A dispatch has ended.
	 *
	 * @param call the request
	 * @param dispatch which one
	 * @param outcome how
	 * @param detail for the log
	 */
	record Ended(DirectCall call, int dispatch, DispatchOutcome outcome, String detail) implements DirectEvent {
	}

	/**
	 * All objects of a kind were read.
	 *
	 * @param kind the kind
	 * @param items all there are
	 * @param at the store's revision when the listing began
	 */
	record AllObjects(Kind kind, List<ObjectStore.Item> items, long at) implements DirectEvent {
	}

	/**
	 * An object has changed.
	 *
	 * @param kind its kind
	 * @param change the change
	 */
	record ObjectChanged(Kind kind, ObjectStore.Change change) implements DirectEvent {
	}

	/**
	 * The store answers, or does not any more.
	 *
	 * @param kind the kind of objects that were asked for
	 * @param reachable whether it answers
	 */
	record StoreReachable(Kind kind, boolean reachable) implements DirectEvent {
	}

	/**
	 * All that the store had of a kind at a moment has been told.
	 *
	 * @param kind the kind
	 * @param asOfNanos the moment, by this process's {@link System#nanoTime}
	 */
	record StoreConfirmed(Kind kind, long asOfNanos) implements DirectEvent {
	}

	/** What is known of the store may be old: a watch was lost and no answer has come. */
	record StoreDoubtful() implements DirectEvent {
	}

	/**
	 * The link to another entry or an agent is up or gone.
	 *
	 * @param peer its name
	 * @param up whether it is up
	 */
	record PeerLink(String peer, boolean up) implements DirectEvent {
	}

	/**
	 * Another entry says that it leaves.
	 *
	 * @param peer its name
	 */
	record PeerLeaving(String peer) implements DirectEvent {
	}

	/**
	 * Another entry has said who it is on a link, from when on it can be told things.
	 *
	 * @param peer its name
	 */
	record PeerMet(String peer) implements DirectEvent {
	}

	/**
	 * Another entry says what it has in flight.
	 *
	 * @param peer its name
	 * @param report the changes
	 */
	record PeerLoads(String peer, LoadReport report) implements DirectEvent {
	}

	/**
	 * Another entry says what those of a place have in flight and how the engines there
	 * are.
	 *
	 * @param peer its name
	 * @param state what has changed
	 */
	record PlaceSays(String peer, PlaceState state) implements DirectEvent {
	}

	/**
	 * Another entry passes on what the store says.
	 *
	 * @param peer its name
	 * @param news what it says
	 */
	record PeerNews(String peer, News news) implements DirectEvent {
	}

	/**
	 * Another entry wants to be told what the store says, or does not any more.
	 *
	 * @param peer its name
	 * @param request what it says
	 */
	record PeerWantsNews(String peer, NewsRequest request) implements DirectEvent {
	}

	/**
	 * An agent says how its engine is.
	 *
	 * @param state the engine's state
	 */
	record AgentSays(EngineState state) implements DirectEvent {
	}

	/**
	 * An agent sends a stamp back.
	 *
	 * @param address the address of the engine beside it
	 * @param stampNanos when it was asked to
	 */
	record AgentEcho(String address, long stampNanos) implements DirectEvent {
	}

	/** Time has passed. */
	record Tick() implements DirectEvent {
	}

	/** The entry was told to leave. */
	record Leave() implements DirectEvent {
	}

}
