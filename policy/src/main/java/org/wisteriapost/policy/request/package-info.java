/**
 * What to do with each request: admit, queue, place, retry, shed, refuse. One pure state
 * machine, {@link org.wisteriapost.policy.request.RequestMachine}, made of one decision a
 * file.
 */
package org.wisteriapost.policy.request;
