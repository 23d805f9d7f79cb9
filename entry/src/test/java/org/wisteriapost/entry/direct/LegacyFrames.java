package org.wisteriapost.entry.direct;

import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.KnownKind;
import org.wisteriapost.protocol.wire.LoadReport;
import org.wisteriapost.protocol.wire.RunnerLimit;

/**
 * Frames between entries as an older version sends and reads them: without parts of
 * prompts, epochs of the store and ages of requests.
 */
final class LegacyFrames {

	private LegacyFrames() {
	}

	static Frame of(Frame frame) {
		Frame.Builder stripped = frame.toBuilder();
		if (frame.hasSuspectReport()) {
			stripped.getSuspectReportBuilder().clearParts();
		}
		if (frame.hasNews()) {
			stripped.getNewsBuilder().clearEpoch();
		}
		if (frame.hasNewsRequest()) {
			stripped.getNewsRequestBuilder().getKnownBuilderList().forEach(KnownKind.Builder::clearEpoch);
		}
		if (frame.hasLoadReport()) {
			LoadReport.Builder report = stripped.getLoadReportBuilder();
			report.getLimitsBuilderList().forEach(RunnerLimit.Builder::clearRequestAgeMillisPlusOne);
		}
		return stripped.build();
	}

}
