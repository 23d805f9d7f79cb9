package org.wisteriapost.entry.direct;

import java.util.List;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.dispatch.DispatchEffect;
import org.wisteriapost.policy.fleet.RunnerInfo;

/**
 * Records what an entry answers or sends to runners.
 */
final class AnswerRecorder implements CallOutput {

	private final List<String> answers;

	AnswerRecorder(List<String> answers) {
		this.answers = answers;
	}

	@Override
	public void send(DirectCall call, DispatchEffect.Send send) {
		this.answers.add("sent to " + send.runner().address());
	}

	@Override
	public void check(RunnerInfo runner) {
	}

	@Override
	public void stop(DirectCall call, int dispatch) {
	}

	@Override
	public void refuse(DirectCall call, Code code, long retryAfterMillis) {
		this.answers.add("refused " + code.name());
	}

	@Override
	public void reject(IncomingRequest arrival, int status, Code code) {
		this.answers.add("rejected " + status);
	}

	@Override
	public void refuse(IncomingRequest arrival, Code code, long retryAfterMillis) {
		this.answers.add("refused " + code.name());
	}

	@Override
	public void fail(DirectCall call, Code code, boolean timeout) {
		this.answers.add("failed " + code.name());
	}

	@Override
	public void forwardRunnerFailure(DirectCall call) {
		this.answers.add("passed on");
	}

}
