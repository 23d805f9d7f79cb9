/**
 * What operators declare of traffic: routes, services, organisations and limits, as one
 * immutable table that is replaced whole.
 */
package org.wisteriapost.policy.routing;
