/**
 * Decisions about each request: admission, queueing, selection of a runner, retries and
 * load shedding. {@link org.wisteriapost.policy.request.RequestMachine} is the state
 * machine that combines them.
 */
package org.wisteriapost.policy.request;
