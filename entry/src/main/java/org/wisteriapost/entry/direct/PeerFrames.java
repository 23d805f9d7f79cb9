package org.wisteriapost.entry.direct;

import java.util.Optional;

import org.wisteriapost.protocol.wire.Frame;

/**
 * Translates frames that an entry receives into events of its state machine.
 */
final class PeerFrames {

	private PeerFrames() {
	}

	/**
	 * Returns the event for a frame, or empty if the frame is not meant for an entry or
	 * needs a sender that is not known.
	 * @param peer the name of the sender, once it has identified itself
	 */
	static Optional<DirectEvent> event(Optional<String> peer, Frame frame) {
		return switch (frame.getBodyCase()) {
			case ENGINE_STATE -> Optional.of(new DirectEvent.EngineStatusReported(frame.getEngineState()));
			case LEAVING -> Optional.of(new DirectEvent.PeerLeaving(frame.getLeaving().getVm()));
			case TABLE_IN_FORCE ->
				peer.map((name) -> new DirectEvent.PeerTableStated(name, frame.getTableInForce().getVersion()));
			case LOAD_REPORT -> peer.map((name) -> new DirectEvent.PeerLoadReported(name, frame.getLoadReport()));
			case PLACE_STATE -> peer.map((name) -> new DirectEvent.FailureDomainReported(name, frame.getPlaceState()));
			case SUSPECT_REPORT -> peer.map((name) -> new DirectEvent.SuspectsReported(name, frame.getSuspectReport()));
			case NEWS -> peer.map((name) -> new DirectEvent.PeerStateUpdated(name, frame.getNews()));
			case NEWS_REQUEST ->
				peer.map((name) -> new DirectEvent.PeerSubscriptionChanged(name, frame.getNewsRequest()));
			default -> Optional.empty();
		};
	}

}
