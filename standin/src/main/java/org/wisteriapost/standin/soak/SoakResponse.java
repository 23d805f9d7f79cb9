package org.wisteriapost.standin.soak;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.wisteriapost.entry.caller.AnswerSink;
import org.wisteriapost.entry.caller.Outcome;
import org.wisteriapost.entry.caller.Refusal;

/**
 * Collects the response to one attempt of a call, until it ends or its connection is
 * lost.
 */
final class SoakResponse implements AnswerSink {

	private final VirtualTime time;

	private final SoakEntry entry;

	private final BiConsumer<Outcome, SoakResponse> onEnd;

	private final StringBuilder body = new StringBuilder();

	private String weightsDigest = "";

	private long retryAfterMillis;

	private String code = "";

	private boolean started;

	private boolean ended;

	SoakResponse(VirtualTime time, SoakEntry entry, BiConsumer<Outcome, SoakResponse> onEnd) {
		this.time = time;
		this.entry = entry;
		this.onEnd = onEnd;
	}

	String body() {
		return this.body.toString();
	}

	String weightsDigest() {
		return this.weightsDigest;
	}

	String code() {
		return this.code;
	}

	long retryAfterMillis() {
		return this.retryAfterMillis;
	}

	boolean ended() {
		return this.ended;
	}

	void connectionLost() {
		this.code = "connection-lost";
		end(Outcome.UNKNOWN);
	}

	@Override
	public void refuse(Refusal refusal) {
		this.code = refusal.code();
		this.retryAfterMillis = refusal.retryAfterMillis();
		end(this.started ? Outcome.UNKNOWN : refusal.outcome());
	}

	@Override
	public void complete(int status, List<Map.Entry<String, String>> headers, String digest, byte[] content) {
		this.weightsDigest = digest;
		this.body.append(new String(content, StandardCharsets.UTF_8));
		end(Outcome.RAN);
	}

	@Override
	public void start(int status, List<Map.Entry<String, String>> headers, String digest) {
		this.started = true;
		this.weightsDigest = digest;
	}

	@Override
	public boolean write(byte[] data) {
		this.body.append(new String(data, StandardCharsets.UTF_8));
		return true;
	}

	@Override
	public void end() {
		end(Outcome.RAN);
	}

	private void end(Outcome outcome) {
		if (!this.ended) {
			this.ended = true;
			this.entry.answered(this);
			this.time.afterNetworkDelay(() -> this.onEnd.accept(outcome, this));
		}
	}

}
