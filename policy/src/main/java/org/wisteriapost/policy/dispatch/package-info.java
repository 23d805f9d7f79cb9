/**
 * Admission, placement, retries and failure handling for requests that an entry sends
 * directly to runners. The classes are pure state machines: they do no I/O, start no
 * threads and read no clock.
 */
package org.wisteriapost.policy.dispatch;
