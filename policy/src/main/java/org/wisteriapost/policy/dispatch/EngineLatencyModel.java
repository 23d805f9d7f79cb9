package org.wisteriapost.policy.dispatch;

import org.wisteriapost.policy.routing.EngineSpec;

/**
 * Predicts the time to the first event and the response time of a model engine.
 *
 * Near saturation every additional request delays the first events of all waiting
 * requests. Balancing by request count alone would place a short prompt behind several
 * long ones, so the prediction takes prompt tokens into account.
 *
 * An engine works in passes: it prefills up to one chunk of waiting prompts and then runs
 * a stride of decode steps for all active sequences. The first event of a request is
 * emitted at the end of the pass that completes its prefill.
 */
final class EngineLatencyModel {

	private static final double HALF = 0.5;

	private static final double THOUSAND = 1000;

	private static final double MILLION = 1_000_000;

	private EngineLatencyModel() {
	}

	/**
	 * Returns the predicted time to the first event.
	 * @param load the requests in flight at the engine
	 * @param promptTokens the number of prompt tokens of the new request
	 */
	static double firstEventMillis(EngineSpec engine, InFlightLoad load, int promptTokens) {
		int sequences = Math.clamp(load.requests() - load.awaitingFirstEvent(), 0, engine.slots());
		double step = stepMillis(engine, sequences);
		double decode = (sequences > 0) ? engine.stepsPerPass() * step : 0;
		long tokens = load.awaitingPromptTokens() + promptTokens;
		double passes = Math.ceil((double) tokens / engine.maxPrefillTokensPerPass());
		double prefill = tokens / engine.prefillTokensPerMilli() + attentionMillis(engine, load, promptTokens);
		double currentPass = HALF * decode;
		double slotWait = slotWaitMillis(engine, load);
		return slotWait + currentPass + prefill + passes * decode
				+ engine.stepsPerPass() * stepMillis(engine, sequences + 1);
	}

	/**
	 * Returns the predicted time from the first event to the last.
	 *
	 * Between two events of a stream the engine prefills part of the prompts that arrived
	 * in the meantime. An engine that is about to switch weights receives fewer and fewer
	 * of them, so only half of the prefill of a busy engine is counted.
	 * @param tokens the number of output tokens
	 */
	static double responseMillis(EngineSpec engine, InFlightLoad load, int tokens) {
		int sequences = Math.clamp(load.requests() + 1, 1, engine.slots());
		double prefill = HALF * sequences * engine.meanPromptTokens() / engine.prefillTokensPerMilli();
		double passes = (double) tokens / engine.stepsPerPass();
		double typicalPasses = Math.max(1, (double) engine.meanAnswerTokens() / engine.stepsPerPass());
		return passes * (engine.stepsPerPass() * stepMillis(engine, sequences) + prefill / typicalPasses);
	}

	/**
	 * Returns the duration of one decode step.
	 */
	static double stepMillis(EngineSpec engine, int sequences) {
		double contextThousands = sequences * (engine.meanPromptTokens() + HALF * engine.meanAnswerTokens()) / THOUSAND;
		return engine.stepMillis() + engine.stepMillisPerDecodingRequest() * sequences
				+ engine.stepMillisPerThousandTokens() * contextThousands;
	}

	/**
	 * Returns how long a typical request holds its slot in an engine without free slots:
	 * its own prefill and decode time and the prefill time of the requests that arrive
	 * after it.
	 */
	static double slotHoldMillis(EngineSpec engine) {
		double step = stepMillis(engine, engine.slots());
		double decode = engine.meanAnswerTokens() * step;
		double prefill = engine.meanPromptTokens() / engine.prefillTokensPerMilli();
		return decode + engine.slots() * prefill;
	}

	/**
	 * Returns how long a new request waits for a slot. {@link #firstEventMillis} includes
	 * this time.
	 */
	static double slotWaitMillis(EngineSpec engine, InFlightLoad load) {
		int excess = load.requests() + 1 - engine.slots();
		if (excess <= 0) {
			return 0;
		}
		return excess * slotHoldMillis(engine) / engine.slots();
	}

	private static double attentionMillis(EngineSpec engine, InFlightLoad load, int promptTokens) {
		double meanPrompt = (load.awaitingFirstEvent() > 0)
				? (double) load.awaitingPromptTokens() / load.awaitingFirstEvent() : 0;
		double tokenPairs = HALF
				* ((double) promptTokens * promptTokens + load.awaitingFirstEvent() * meanPrompt * meanPrompt);
		return engine.prefillMillisPerMillionPairs() * tokenPairs / MILLION;
	}

}
