package org.wisteriapost.protocol.site;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The fields of a caller's request that its headers carry.
 *
 * @param attemptId id of this attempt, returned with the response
 * @param remainingMillis time left until the caller's deadline
 * @param promptTokens tokens of the prompt; 0 when unknown
 * @param maxAnswerTokens maximum number of tokens to generate; 0 when unknown
 * @param expectedAnswerTokens the caller's estimate of the tokens to generate
 * @param prompt identifies the parts of the prompt; equal for all attempts of one request
 * @param lastEventId id of the last event that the caller received, when it resumes a
 * stream
 */
public record CallerRequestFields(Optional<String> attemptId, OptionalLong remainingMillis, int promptTokens,
		int maxAnswerTokens, OptionalInt expectedAnswerTokens, Optional<String> prompt, Optional<String> lastEventId) {
}
