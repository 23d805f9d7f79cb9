package org.wisteriapost.entry.quarantine;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
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

	private static final Logger LOG = System.getLogger(SuspectReportCodec.class.getName());

	/**
	 * Suspect parts of prompts, each a SuspectRequest with the id of the part as its
	 * hash; completed says that an answer went on, after which it began. Reserved in
	 * wire.proto; older entries ignore it.
	 */
	private static final int PARTS_FIELD = 2;

	private SuspectReportCodec() {
	}

	static SuspectReport encode(RequestQuarantine.Updates updates, long nowNanos) {
		SuspectReport.Builder report = SuspectReport.newBuilder();
		updates.updates().forEach((update) -> report.addSuspects(encode(update, nowNanos)));
		if (!updates.parts().isEmpty()) {
			UnknownFieldSet.Field.Builder parts = UnknownFieldSet.Field.newBuilder();
			updates.parts().forEach((part) -> parts.addLengthDelimited(encode(part, nowNanos).toByteString()));
			report.setUnknownFields(UnknownFieldSet.newBuilder().addField(PARTS_FIELD, parts.build()).build());
		}
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
			else {
				quarantine.merge(decode(suspect, nowNanos), source, nowNanos);
			}
		}
		mergeParts(report, quarantine, source, nowNanos);
	}

	private static void mergeParts(SuspectReport report, RequestQuarantine quarantine, String source, long nowNanos) {
		for (ByteString encoded : report.getUnknownFields().getField(PARTS_FIELD).getLengthDelimitedList()) {
			try {
				quarantine.merge(decodePart(org.wisteriapost.protocol.wire.SuspectRequest.parseFrom(encoded), nowNanos),
						source, nowNanos);
			}
			catch (InvalidProtocolBufferException ex) {
				LOG.log(Level.WARNING, "suspect part of " + source + " cannot be read", ex);
			}
		}
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
