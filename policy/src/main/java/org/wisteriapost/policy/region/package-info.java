/**
 * Regions in which a request may be handled.
 */
package org.wisteriapost.policy.region;
