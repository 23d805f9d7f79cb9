/**
 * Service-level objectives: requests are counted by result in bounded time windows, and
 * the counts yield the burn rate of each objective's error budget.
 */
package org.wisteriapost.policy.burn;
