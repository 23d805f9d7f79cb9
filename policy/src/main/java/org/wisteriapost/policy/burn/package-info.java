/**
 * Service-level figures: what each request was to its caller, counted in bounded windows,
 * and how fast that spends the error budget of each objective.
 */
package org.wisteriapost.policy.burn;
