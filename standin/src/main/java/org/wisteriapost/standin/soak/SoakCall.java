package org.wisteriapost.standin.soak;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.wisteriapost.protocol.http.EventBoundary;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.CallData;
import org.wisteriapost.protocol.wire.CallEnd;
import org.wisteriapost.protocol.wire.CallStarted;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Outcome;

/**
 * A call that a VM has received, from its frame to its end. Stands in for the production
 * agent's calls to its runner.
 */
final class SoakCall {

	private static final int OK = 200;

	private final SoakLink.LinkEnd linkEnd;

	private final Call call;

	private final SoakVm vm;

	private boolean running;

	SoakCall(SoakLink.LinkEnd linkEnd, Call call, SoakVm vm) {
		this.linkEnd = linkEnd;
		this.call = call;
		this.vm = vm;
	}

	SoakLink.LinkEnd linkEnd() {
		return this.linkEnd;
	}

	Call call() {
		return this.call;
	}

	boolean running() {
		return this.running;
	}

	boolean matches(SoakLink.LinkEnd from, long id) {
		return this.linkEnd == from && this.call.getId() == id;
	}

	void markRunning() {
		this.running = true;
	}

	void refuse(String code, long retryAfterMillis) {
		end(Outcome.NOT_RUN, code, retryAfterMillis);
	}

	SoakRunner.Listener listener(long number) {
		return new ResponseForwarder(number);
	}

	private void send(Frame.Builder frame) {
		this.linkEnd.send(frame.setGeneration(this.vm.view().headGeneration()).build());
	}

	private void end(Outcome outcome, String code, long retryAfterMillis) {
		this.running = false;
		send(Frame.newBuilder()
			.setCallEnd(CallEnd.newBuilder()
				.setId(this.call.getId())
				.setOutcome(outcome)
				.setCode(code)
				.setRetryAfterMillis((int) retryAfterMillis)));
	}

	/**
	 * Forwards a runner's answer to the entry. An answer of other weights than the call
	 * requested is withheld.
	 */
	private final class ResponseForwarder implements SoakRunner.Listener {

		private final long number;

		// Only of a stream of events.
		private Optional<EventBoundary> eventBoundary = Optional.empty();

		private boolean wrongWeights;

		private boolean finished;

		private ResponseForwarder(long number) {
			this.number = number;
		}

		@Override
		public void started(String weights) {
			SoakCall.this.vm.step(() -> {
				SoakCall.this.vm.answerStarted(this.number);
				this.wrongWeights = !SoakCall.this.call.getWeightsDigest().isEmpty()
						&& !SoakCall.this.call.getWeightsDigest().equals(weights);
				if (this.wrongWeights) {
					SoakCall.this.vm.ledger().count("withheld");
					return;
				}
				if (!weights.isEmpty()) {
					this.eventBoundary = Optional.of(new EventBoundary());
					SoakCall.this.vm.ledger().recordServedWeights(SoakCall.this.vm.name(), weights);
				}
				send(Frame.newBuilder()
					.setCallStarted(CallStarted.newBuilder()
						.setId(SoakCall.this.call.getId())
						.setStatus(OK)
						.setWeightsDigest(SoakCall.this.call.getWeightsDigest())));
			});
		}

		@Override
		public void data(String text) {
			SoakCall.this.vm.step(() -> {
				this.eventBoundary.ifPresent((boundary) -> boundary.read(text.getBytes(StandardCharsets.UTF_8)));
				if (!this.wrongWeights) {
					send(Frame.newBuilder()
						.setCallData(CallData.newBuilder()
							.setId(SoakCall.this.call.getId())
							.setData(ByteString.copyFromUtf8(text))));
				}
			});
		}

		@Override
		public void completed() {
			SoakCall.this.vm.step(() -> {
				if (this.wrongWeights || this.eventBoundary.filter(EventBoundary::withinEvent).isPresent()) {
					finishCut();
					return;
				}
				finish(Outcome.RAN, "");
			});
		}

		@Override
		public void aborted() {
			SoakCall.this.vm.step(this::finishCut);
		}

		@Override
		public void refused() {
			SoakCall.this.vm.step(() -> finish(Outcome.NOT_RUN, "runner-refused"));
		}

		private void finishCut() {
			finish(Outcome.UNKNOWN, this.wrongWeights ? "answer-withheld" : "runner-cut");
		}

		// An end that comes twice reaches the entry twice.
		private void finish(Outcome outcome, String code) {
			SoakCall.this.end(outcome, code, 0);
			if (!this.finished) {
				this.finished = true;
				SoakCall.this.vm.callEnded(this.number, this.wrongWeights);
			}
		}

	}

}
