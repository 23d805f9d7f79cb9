/**
 * What is believed of runners, entries and named weights, and from what evidence.
 */
package org.wisteriapost.policy.fleet;
