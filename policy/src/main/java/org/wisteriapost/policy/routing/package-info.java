/**
 * The operators' declarations for routing: routes, services, organisations and limits, as
 * an immutable table that is replaced as a whole.
 */
package org.wisteriapost.policy.routing;
