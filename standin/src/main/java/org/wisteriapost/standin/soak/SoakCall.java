package org.wisteriapost.standin.soak;

import com.google.protobuf.ByteString;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.CallData;
import org.wisteriapost.protocol.wire.CallEnd;
import org.wisteriapost.protocol.wire.CallStarted;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Outcome;

/**
 * One call at a VM, from its frame to its end; does what the agent's own runner calls do.
 */
final class SoakCall {

	private static final int OK = 200;

	private final SoakLink.Side side;

	private final Call call;

	private final SoakVm vm;

	private boolean running;

	SoakCall(SoakLink.Side side, Call call, SoakVm vm) {
		this.side = side;
		this.call = call;
		this.vm = vm;
	}

	SoakLink.Side side() {
		return this.side;
	}

	Call call() {
		return this.call;
	}

	boolean running() {
		return this.running;
	}

	boolean is(SoakLink.Side from, long id) {
		return this.side == from && this.call.getId() == id;
	}

	void starts() {
		this.running = true;
	}

	void refused(String code, long retryAfterMillis) {
		end(Outcome.NOT_RUN, code, retryAfterMillis);
	}

	SoakRunner.Listener listener(long number) {
		return new Answer(number);
	}

	private void send(Frame.Builder frame) {
		this.side.send(frame.setGeneration(this.vm.view().headGeneration()).build());
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

	/** Passes a runner's answer on while the agent's process runs. */
	private final class Answer implements SoakRunner.Listener {

		private final long number;

		private boolean foreign;

		private Answer(long number) {
			this.number = number;
		}

		@Override
		public void head(String weights) {
			SoakCall.this.vm.step(() -> {
				SoakCall.this.vm.answered(this.number);
				this.foreign = !SoakCall.this.call.getWeightsDigest().isEmpty()
						&& !SoakCall.this.call.getWeightsDigest().equals(weights);
				if (this.foreign) {
					SoakCall.this.vm.ledger().count("withheld");
					return;
				}
				if (!weights.isEmpty()) {
					SoakCall.this.vm.ledger().serves(SoakCall.this.vm.name(), weights);
				}
				send(Frame.newBuilder()
					.setCallStarted(CallStarted.newBuilder()
						.setId(SoakCall.this.call.getId())
						.setStatus(OK)
						.setWeightsDigest(SoakCall.this.call.getWeightsDigest())));
			});
		}

		@Override
		public void data(String piece) {
			SoakCall.this.vm.step(() -> {
				if (!this.foreign) {
					send(Frame.newBuilder()
						.setCallData(CallData.newBuilder()
							.setId(SoakCall.this.call.getId())
							.setData(ByteString.copyFromUtf8(piece))));
				}
			});
		}

		@Override
		public void end() {
			SoakCall.this.vm
				.step(() -> over(this.foreign ? Outcome.UNKNOWN : Outcome.RAN, this.foreign ? "answer-withheld" : ""));
		}

		@Override
		public void cut() {
			SoakCall.this.vm.step(() -> over(Outcome.UNKNOWN, this.foreign ? "answer-withheld" : "runner-cut"));
		}

		@Override
		public void refused() {
			SoakCall.this.vm.step(() -> over(Outcome.NOT_RUN, "runner-refused"));
		}

		private void over(Outcome outcome, String code) {
			SoakCall.this.end(outcome, code, 0);
			SoakCall.this.vm.over(this.number, this.foreign);
		}

	}

}
