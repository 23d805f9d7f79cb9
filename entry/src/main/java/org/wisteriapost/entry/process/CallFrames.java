package org.wisteriapost.entry.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.wisteriapost.entry.caller.CallerCall;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.CallStarted;
import org.wisteriapost.protocol.wire.Header;
import org.wisteriapost.protocol.wire.Priority;

/**
 * Converts calls to frames, and frames to the headers of answers.
 */
final class CallFrames {

	// Hop-by-hop headers, and headers that the entry sets itself.
	private static final Set<String> WITHHELD_HEADERS = Set.of("connection", "keep-alive", "transfer-encoding",
			"content-length", "trailer", "upgrade", "server", "wisteriapost-outcome", "wisteriapost-request-id",
			"wisteriapost-weights", "wisteriapost-retry-after-ms");

	private CallFrames() {
	}

	static Call call(CallerCall call, long callId, String weightsDigest, long nowNanos) {
		Call.Builder builder = Call.newBuilder()
			.setId(callId)
			.setService(call.request().service())
			.setMethod(call.method())
			.setPath(call.path())
			.setBody(ByteString.copyFrom(call.body()))
			.setRemainingMillis(remainingMillis(call, nowNanos))
			.setPriority(priority(call))
			.setWeightsDigest(weightsDigest)
			.setOrganisation(call.request().organisation())
			.setRequestId(call.requestId());
		call.headers()
			.forEach((header) -> builder
				.addHeaders(Header.newBuilder().setName(header.getKey()).setValue(header.getValue())));
		return builder.build();
	}

	/**
	 * Returns the headers of an answer that are passed to the caller.
	 */
	static List<Map.Entry<String, String>> headers(CallStarted started) {
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		started.getHeadersList()
			.stream()
			.filter((header) -> !WITHHELD_HEADERS.contains(header.getName().toLowerCase(Locale.ROOT)))
			.forEach((header) -> headers.add(Map.entry(header.getName(), header.getValue())));
		return headers;
	}

	private static int remainingMillis(CallerCall call, long nowNanos) {
		long millis = TimeUnit.NANOSECONDS.toMillis(call.request().deadlineNanos() - nowNanos);
		return (int) Math.clamp(millis, 0, Integer.MAX_VALUE);
	}

	private static Priority priority(CallerCall call) {
		return switch (call.request().priority()) {
			case URGENT -> Priority.URGENT;
			case NORMAL -> Priority.NORMAL;
			case BULK -> Priority.BULK;
		};
	}

}
