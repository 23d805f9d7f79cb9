/**
 * Limits that runners name for the rate of their requests, and how entries share them.
 */
package org.wisteriapost.policy.ratelimit;
