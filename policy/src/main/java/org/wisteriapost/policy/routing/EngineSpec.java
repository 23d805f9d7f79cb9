package org.wisteriapost.policy.routing;

/**
 * The declared speed and size of a model engine.
 *
 * @param slots the number of requests that it processes at once
 * @param kvTokens the capacity of its KV cache, in tokens
 * @param stepsPerPass the number of token steps in a pass with decoding requests
 * @param stepMillis the time of one token step
 * @param stepMillisPerDecodingRequest the additional time of a step for each decoding
 * request
 * @param stepMillisPerThousandTokens the additional time of a step for each thousand
 * tokens of context
 * @param prefillTokensPerMilli the number of prompt tokens prefilled in a millisecond
 * @param prefillMillisPerMillionPairs the additional time of prefill for each million
 * pairs of a token and an earlier one
 * @param maxPrefillTokensPerPass the maximum number of prompt tokens prefilled in one
 * pass
 * @param meanPromptTokens the mean number of prompt tokens
 * @param meanAnswerTokens the mean number of answer tokens
 * @param model the model that it serves
 * @param warmupMillis the time to load new weights once they are downloaded
 */
public record EngineSpec(int slots, long kvTokens, int stepsPerPass, double stepMillis,
		double stepMillisPerDecodingRequest, double stepMillisPerThousandTokens, double prefillTokensPerMilli,
		double prefillMillisPerMillionPairs, int maxPrefillTokensPerPass, int meanPromptTokens, int meanAnswerTokens,
		String model, double warmupMillis) {
}
