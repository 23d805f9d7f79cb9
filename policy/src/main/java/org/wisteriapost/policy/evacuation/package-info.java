/**
 * Evacuations of failure domains, to whose runners no further requests are sent.
 */
package org.wisteriapost.policy.evacuation;
