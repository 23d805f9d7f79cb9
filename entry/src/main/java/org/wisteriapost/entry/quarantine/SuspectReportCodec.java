package org.wisteriapost.entry.quarantine;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.policy.quarantine.RequestQuarantine;
import org.wisteriapost.policy.quarantine.SuspectPart;
import org.wisteriapost.policy.quarantine.SuspectRequest;
import org.wisteriapost.protocol.wire.RunnerLoss;
import org.wisteriapost.protocol.wire.SuspectReport;

/**
 * Converts suspect requests between their wire form and the policy types. Times are sent
 * as ages.
 */
final class SuspectReportCodec {

	private SuspectReportCodec() {
	}

	static SuspectReport encode(RequestQuarantine.Updates updates, long nowNanos) {
		SuspectReport.Builder report = SuspectReport.newBuilder();
		updates.updates().forEach((update) -> report.addSuspects(encode(update, nowNanos)));
		updates.parts().forEach((part) -> report.addParts(encode(part, nowNanos)));
		return report.build();
	}

	private static org.wisteriapost.protocol.wire.SuspectRequest encode(SuspectPart part, long nowNanos) {
		return encode(new RequestQuarantine.Update(new SuspectRequest(part.id(), part.losses()), part.goodNanos()),
				nowNanos);
	}

	private static org.wisteriapost.protocol.wire.SuspectRequest encode(RequestQuarantine.Update update,
			long nowNanos) {
		org.wisteriapost.protocol.wire.SuspectRequest.Builder suspect = org.wisteriapost.protocol.wire.SuspectRequest
			.newBuilder()
			.setContentHash(update.suspect().contentHash());
		update.suspect()
			.losses()
			.forEach((loss) -> suspect.addLosses(
					RunnerLoss.newBuilder().setRunner(loss.runner()).setAgeMillis(age(loss.atNanos(), nowNanos))));
		update.completedNanos()
			.ifPresent((nanos) -> suspect.setCompleted(true).setCompletedAgeMillis(age(nanos, nowNanos)));
		return suspect.build();
	}

	/**
	 * Adds what another entry reports to the quarantine.
	 */
	static void merge(SuspectReport report, RequestQuarantine quarantine, String source, long nowNanos) {
		for (org.wisteriapost.protocol.wire.SuspectRequest suspect : report.getSuspectsList()) {
			if (suspect.getCompleted()) {
				quarantine.mergeCompletion(suspect.getContentHash(),
						nanosBefore(suspect.getCompletedAgeMillis(), nowNanos), source, nowNanos);
			}
			if (suspect.getLossesCount() > 0) {
				quarantine.merge(decode(suspect, nowNanos), source, nowNanos);
			}
		}
		report.getPartsList().forEach((part) -> quarantine.merge(decodePart(part, nowNanos), source, nowNanos));
	}

	private static SuspectPart decodePart(org.wisteriapost.protocol.wire.SuspectRequest part, long nowNanos) {
		OptionalLong good = part.getCompleted() ? OptionalLong.of(nanosBefore(part.getCompletedAgeMillis(), nowNanos))
				: OptionalLong.empty();
		return new SuspectPart(part.getContentHash(), decode(part, nowNanos).losses(), good);
	}

	private static SuspectRequest decode(org.wisteriapost.protocol.wire.SuspectRequest suspect, long nowNanos) {
		return new SuspectRequest(suspect.getContentHash(), suspect.getLossesList()
			.stream()
			.map((loss) -> new SuspectRequest.Loss(loss.getRunner(), nanosBefore(loss.getAgeMillis(), nowNanos)))
			.toList());
	}

	private static int age(long nanos, long nowNanos) {
		return (int) Math.clamp(TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos), 0, Integer.MAX_VALUE);
	}

	private static long nanosBefore(int ageMillis, long nowNanos) {
		return nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
	}

}
